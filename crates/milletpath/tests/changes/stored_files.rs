//! Files that the release of 2026-12-02 stored (`tests/fixtures/config-log`) stay readable: three control machines'
//! logs and one gateway's last known state, after two changes of "packs" and one of "plates" that was taken back.

use super::control::Site;
use std::path::Path;

/// What that release's control machines and its gateway had agreed on.
const HEAD: u64 = 4;
const DIGEST: u64 = 0x726a_cf44_c20d_e6ad;

/// A site whose processes have not begun, with the stored files in place.
fn site_with_stored_files() -> Site {
    let site = Site::new(3, 1);
    let stored = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures/config-log");
    for name in ["control-0.log", "control-1.log", "control-2.log", "gateway-0.state"] {
        std::fs::copy(stored.join(name), site.file(name)).expect("a fixture");
    }
    site
}

#[test]
fn a_gateway_goes_by_the_stored_last_known_state_before_any_control_machine_runs() {
    let mut site = site_with_stored_files();
    site.begin_gateway(0);
    let here = site.here(0);
    assert_eq!((here["number"].as_u64(), here["digest"].as_u64()), (Some(HEAD), Some(DIGEST)), "{here:#}");
    assert_eq!((site.call(0, "order"), site.call(0, "check")), (200, 400));
}

#[test]
fn control_machines_read_the_stored_logs_and_take_the_next_change() {
    let mut site = site_with_stored_files();
    (0..3).for_each(|machine| site.begin_control(machine, &[]));
    for machine in 0..3 {
        let view = site.view(machine);
        assert_eq!(
            (view["number"].as_u64(), view["digest"].as_u64()),
            (Some(HEAD), Some(DIGEST)),
            "{view:#}"
        );
    }
    site.begin_gateway(0);
    assert!(site.changed("", &["--remove", "packs"]) > HEAD);
    assert_eq!((site.call(0, "order"), site.call(0, "check")), (400, 200));
}
