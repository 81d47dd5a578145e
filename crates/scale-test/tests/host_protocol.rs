//! The JSON lines exchanged between a run and its host processes, compared byte for byte: a new version must read and
//! write the format of earlier ones.

use milletpath_scale_test::host_protocol::{
    AddressMap, AppliedChange, BudgetLevel, ConfigLogReading, GatewayReading, HostCommand,
    MembershipObservation, Minimum, StatusMessage,
};
use milletpath_scale_test::membership_tracker::ReportedState;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Checks that the message is serialized as this line and that the line is parsed back to the same message.
fn assert_line<T: Serialize + DeserializeOwned>(message: &T, line: &str) {
    assert_eq!(serde_json::to_string(message).expect("the message is written"), line);
    let read: T = serde_json::from_str(line).expect("the line is read");
    assert_eq!(serde_json::to_string(&read).expect("the message is written again"), line);
}

fn loopback(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn observation(observer: u32, subject: u32, state: ReportedState, at: f64) -> MembershipObservation {
    MembershipObservation { observer, subject, state, at }
}

#[test]
fn commands_keep_their_form() {
    let addresses = AddressMap {
        gateways: vec![loopback(1), loopback(2)],
        control_machines: vec![loopback(3)],
        folder: "/run".into(),
    };
    assert_line(
        &HostCommand::Plan { text: "name = \"a\"".into(), gateways: 2, seed: 7, addresses },
        r#"{"Plan":{"text":"name = \"a\"","gateways":2,"seed":7,"places":{"links":["127.0.0.1:1","127.0.0.1:2"],"control":["127.0.0.1:3"],"folder":"/run"}}}"#,
    );
    assert_line(&HostCommand::StartGateway { gateway: 5 }, r#"{"Begin":{"gateway":5}}"#);
    assert_line(
        &HostCommand::StopGateways { gateways: vec![5, 6], killed: true },
        r#"{"End":{"gateways":[5,6],"killed":true}}"#,
    );
    assert_line(
        &HostCommand::UpdateEndpoints { workers: vec![0, 3], generation: 2, present: false },
        r#"{"List":{"workers":[0,3],"generation":2,"there":false}}"#,
    );
    assert_line(&HostCommand::ReadGateways { request_id: 9 }, r#"{"Read":{"number":9}}"#);
}

#[test]
fn reports_of_one_gateway_keep_their_form() {
    assert_line(
        &StatusMessage::GatewayStarted {
            gateway: 5,
            membership_address: Some(loopback(4)),
            config_log_address: None,
            at: 1.5,
        },
        r#"{"Began":{"gateway":5,"link":"127.0.0.1:4","feed":null,"at":1.5}}"#,
    );
    assert_line(
        &StatusMessage::GatewayFailed { gateway: 5, reason: "no socket".into() },
        r#"{"Failed":{"gateway":5,"why":"no socket"}}"#,
    );
    assert_line(
        &StatusMessage::GatewayStopped { gateway: 5, at: 2.5 },
        r#"{"Ended":{"gateway":5,"at":2.5}}"#,
    );
}

#[test]
fn observations_keep_their_form() {
    assert_line(
        &StatusMessage::MembershipObservations(vec![
            observation(1, 2, ReportedState::Alive, 0.5),
            observation(2, 1, ReportedState::Suspected, 0.75),
            observation(1, 2, ReportedState::Dead, 1.0),
        ]),
        r#"{"Events":[[1,2,"Here",0.5],[2,1,"Doubted",0.75],[1,2,"Gone",1.0]]}"#,
    );
    assert_line(
        &StatusMessage::AppliedChanges(vec![AppliedChange { gateway: 1, number: 12, at: 0.5 }]),
        r#"{"Changed":[[1,12,0.5]]}"#,
    );
    assert_line(
        &StatusMessage::EndpointsUpdated { workers: 3, max_cpu_seconds: 0.25 },
        r#"{"Listed":{"workers":3,"slowest":0.25}}"#,
    );
}

#[test]
fn readings_keep_their_form() {
    let minimum = Minimum {
        second: 4,
        fraction: 0.25,
        budgets: BTreeMap::from([("quota all".to_owned(), BudgetLevel { quota: 0.25, allowed: 15.0 })]),
    };
    let follower = ConfigLogReading { at: 3.5, cpu_seconds: 0.125, number: 12, digest: 99 };
    let reading = GatewayReading {
        gateway: 5,
        at: 3.0,
        membership_cpu: 0.5,
        dispatcher_cpu: 0.25,
        likely_gateways: 60.0,
        minimums: vec![minimum],
        config_log: Some(follower),
    };
    let without_options = GatewayReading { minimums: Vec::new(), config_log: None, ..reading.clone() };
    assert_line(
        &StatusMessage::Readings { request_id: 9, readings: vec![reading, without_options] },
        r#"{"Readings":{"number":9,"readings":[{"gateway":5,"at":3.0,"control":0.5,"desk":0.25,"likely":60.0,"lows":[{"second":4,"part":0.25,"budgets":{"quota all":[0.25,15.0]}}],"changes":{"at":3.5,"cpu":0.125,"number":12,"digest":99}},{"gateway":5,"at":3.0,"control":0.5,"desk":0.25,"likely":60.0,"lows":[],"changes":null}]}}"#,
    );
}
