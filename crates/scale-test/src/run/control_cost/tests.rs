//! Control-plane cost computed from two readings.

use super::{HollowCpu, Rates};
use crate::host_protocol::{ConfigLogReading, GatewayReading};
use crate::relay::LinkTraffic;
use test_case::test_case;

fn reading(at: f64, membership_cpu: f64, dispatcher_cpu: f64) -> GatewayReading {
    GatewayReading {
        gateway: 0,
        at,
        membership_cpu,
        dispatcher_cpu,
        likely_gateways: 1.0,
        minimums: Vec::new(),
        config_log: None,
    }
}

fn with_follower(reading: GatewayReading, at: f64, cpu_seconds: f64) -> GatewayReading {
    let config_log = Some(ConfigLogReading { at, cpu_seconds, number: 0, digest: 0 });
    GatewayReading { config_log, ..reading }
}

#[test]
fn processor_time_is_a_rate_per_second() {
    let cpu = HollowCpu::between(&reading(10.0, 1.0, 2.0), &reading(18.0, 3.0, 4.0), 10.0).expect("read");
    assert_eq!((cpu.membership, cpu.dispatcher, cpu.follower), (0.25, 0.2, None));
}

#[test]
fn the_follower_rate_is_based_on_its_own_readings() {
    let earlier = with_follower(reading(10.0, 1.0, 2.0), 10.0, 1.0);
    let later = with_follower(reading(20.0, 3.0, 4.0), 18.0, 5.0);
    let cpu = HollowCpu::between(&earlier, &later, 10.0).expect("read");
    assert_eq!(cpu.follower, Some(0.5));
}

#[test_case(14.0, 3.0; "not read lately")]
#[test_case(20.0, 0.5; "another process than before")]
fn a_gateway_without_two_readings_of_one_process_is_not_counted(at: f64, membership_cpu: f64) {
    let later = reading(at, membership_cpu, 4.0);
    assert!(HollowCpu::between(&reading(10.0, 1.0, 2.0), &later, 10.0).is_none());
}

#[test]
fn a_gateway_whose_follower_was_not_read_lately_is_not_counted() {
    let earlier = with_follower(reading(10.0, 1.0, 2.0), 10.0, 1.0);
    let later = with_follower(reading(20.0, 3.0, 4.0), 14.0, 5.0);
    assert!(HollowCpu::between(&earlier, &later, 10.0).is_none());
}

#[test]
fn traffic_is_a_rate_per_second() {
    let earlier = LinkTraffic { datagrams_in: 1, bytes_in: 100, datagrams_out: 2, bytes_out: 200 };
    let later = LinkTraffic { datagrams_in: 5, bytes_in: 500, datagrams_out: 12, bytes_out: 1_200 };
    let rates = Rates::between(earlier, later, 4.0);
    let both = rates.plus(rates);
    assert_eq!((rates.datagrams_in, rates.datagrams_out), (1.0, 2.5));
    assert_eq!((both.bytes_in, both.bytes_out), (200.0, 500.0));
}
