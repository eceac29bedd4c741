//! Ids: their text form, and that nobody can forge or borrow one.

use {
    proptest::prelude::*,
    std::net::SocketAddr,
    sycamorerail_wire::ids::{IdError, IdKey, Incarnation, JobId, OrganisationKey},
};

fn address() -> impl Strategy<Value = SocketAddr> {
    (any::<std::net::IpAddr>(), any::<u16>())
        .prop_filter("mapped v6 reads back as v4", |(ip, _)| match ip {
            std::net::IpAddr::V4(_) => true,
            std::net::IpAddr::V6(v6) => v6.to_ipv4_mapped().is_none(),
        })
        .prop_map(|(ip, port)| SocketAddr::new(ip, port))
}

fn id(key: &IdKey) -> impl Strategy<Value = JobId> + use<> {
    let key = key.clone();
    (address(), any::<u64>(), any::<u64>(), any::<u64>(), "[a-z]{1,9}").prop_map(
        move |(home, run, minted, sequence, name)| {
            JobId::mint(&key, home, Incarnation(run), minted, sequence, OrganisationKey::of(&name))
        },
    )
}

fn key() -> IdKey {
    IdKey::derive("one cluster")
}

proptest! {
    #[test]
    fn text_round_trip(id in id(&key())) {
        prop_assert_eq!(JobId::parse(&key(), &id.to_string()), Ok(id));
    }

    #[test]
    fn other_cluster(id in id(&key())) {
        let theirs = IdKey::derive("another cluster");
        prop_assert_eq!(JobId::parse(&theirs, &id.to_string()), Err(IdError::Forged));
    }

    #[test]
    fn altered_field(id in id(&key()), bit in 0u32..64) {
        let mut forged = id;
        forged.sequence ^= 1 << bit;
        prop_assert_eq!(forged.verify(&key()), Err(IdError::Forged));
        let mut borrowed = id;
        borrowed.organisation.0 ^= 1 << bit;
        prop_assert_eq!(borrowed.verify(&key()), Err(IdError::Forged));
        let mut younger = id;
        younger.minted_unix_ms ^= 1 << bit;
        prop_assert_eq!(younger.verify(&key()), Err(IdError::Forged));
    }

    #[test]
    fn altered_text(id in id(&key()), position in 0usize..88, letter in "[A-Za-z0-9_-]") {
        let mut text = id.to_string();
        let same = text[position..=position] == letter;
        text.replace_range(position..=position, &letter);
        prop_assume!(!same);
        prop_assert!(JobId::parse(&key(), &text).is_err());
    }

    #[test]
    fn any_text(text in ".{0,120}") {
        prop_assert_eq!(JobId::parse(&key(), &text), Err(IdError::Malformed));
    }
}
