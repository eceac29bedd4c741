//! `sycamorerail-soak`: a long randomised run over real processes.

fn main() {}
