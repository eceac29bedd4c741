//! Numbers in place of names: data centres, racks and request kinds.
//!
//! A number once given stays, so that keys hold over changes of templates.

use {
    parking_lot::Mutex,
    std::collections::HashMap,
    sycamorerail_decide::view::{DataCentreKey, KindKey, RackKey},
};

/// Stands for a kind that no template has: an upstream which serves only
/// unknown kinds serves none.
pub const NO_KIND: KindKey = KindKey(u32::MAX);

#[derive(Debug, Default)]
struct Numbers(Mutex<HashMap<String, u32>>);

impl Numbers {
    fn number(&self, name: &str) -> u32 {
        let mut numbers = self.0.lock();
        if let Some(&number) = numbers.get(name) {
            return number;
        }
        let next = u32::try_from(numbers.len()).unwrap_or(u32::MAX - 1);
        numbers.insert(name.to_owned(), next);
        next
    }
}

/// All numbers given by this process.
#[derive(Debug, Default)]
pub struct Names {
    data_centres: Numbers,
    racks: Numbers,
    kinds: Numbers,
}

impl Names {
    /// The key of a data centre.
    pub fn data_centre(&self, name: &str) -> DataCentreKey {
        DataCentreKey(narrow(self.data_centres.number(name)))
    }

    /// The key of a rack, unique over data centres.
    pub fn rack(&self, data_centre: &str, rack: &str) -> RackKey {
        RackKey(narrow(self.racks.number(&format!("{data_centre}/{rack}"))))
    }

    /// The key of an organisation's request kind.
    pub fn kind(&self, organisation: &str, kind: &str) -> KindKey {
        KindKey(self.kinds.number(&format!("{organisation}/{kind}")))
    }
}

fn narrow(number: u32) -> u16 {
    u16::try_from(number).unwrap_or(u16::MAX)
}
