//! Ids: the text form round-trips, and forged ids or ids of another cluster are rejected.

use {
    proptest::prelude::*,
    std::net::SocketAddr,
    sycamorerail_wire::ids::{IdError, IdKey, Incarnation, JobId, OrganisationKey},
};

fn address() -> impl Strategy<Value = SocketAddr> {
    (any::<std::net::IpAddr>(), any::<u16>())
        .prop_filter("an IPv4-mapped IPv6 address is decoded as IPv4", |(ip, _)| match ip {
            std::net::IpAddr::V4(_) => true,
            std::net::IpAddr::V6(v6) => v6.to_ipv4_mapped().is_none(),
        })
        .prop_map(|(ip, port)| SocketAddr::new(ip, port))
}

fn job_id(key: &IdKey) -> impl Strategy<Value = JobId> + use<> {
    let key = key.clone();
    (address(), any::<u64>(), any::<u64>(), any::<u64>(), "[a-z]{1,9}").prop_map(
        move |(home, incarnation, minted, sequence, name)| {
            JobId::mint(
                &key,
                home,
                Incarnation(incarnation),
                minted,
                sequence,
                OrganisationKey::of(&name),
            )
        },
    )
}

fn cluster_key() -> IdKey {
    IdKey::derive("one cluster")
}

proptest! {
    #[test]
    fn text_round_trip(id in job_id(&cluster_key())) {
        prop_assert_eq!(JobId::parse(&cluster_key(), &id.to_string()), Ok(id));
    }

    #[test]
    fn id_of_other_cluster_is_rejected(id in job_id(&cluster_key())) {
        let other_key = IdKey::derive("another cluster");
        prop_assert_eq!(JobId::parse(&other_key, &id.to_string()), Err(IdError::Forged));
    }

    #[test]
    fn altered_field_is_rejected(id in job_id(&cluster_key()), bit in 0u32..64) {
        let mut other_sequence = id;
        other_sequence.sequence ^= 1 << bit;
        prop_assert_eq!(other_sequence.verify(&cluster_key()), Err(IdError::Forged));
        let mut other_organisation = id;
        other_organisation.organisation.0 ^= 1 << bit;
        prop_assert_eq!(other_organisation.verify(&cluster_key()), Err(IdError::Forged));
        let mut other_time = id;
        other_time.minted_unix_ms ^= 1 << bit;
        prop_assert_eq!(other_time.verify(&cluster_key()), Err(IdError::Forged));
    }

    #[test]
    fn altered_text_is_rejected(
        id in job_id(&cluster_key()),
        position in 0usize..88,
        letter in "[A-Za-z0-9_-]",
    ) {
        let mut text = id.to_string();
        let same = text[position..=position] == letter;
        text.replace_range(position..=position, &letter);
        prop_assume!(!same);
        prop_assert!(JobId::parse(&cluster_key(), &text).is_err());
    }

    #[test]
    fn arbitrary_text_is_malformed(text in ".{0,120}") {
        prop_assert_eq!(JobId::parse(&cluster_key(), &text), Err(IdError::Malformed));
    }
}
