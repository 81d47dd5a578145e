//! What a crash and a bad disk leave of the file, at every byte.

use super::*;

/// A file of its own, gone at the end.
struct Place(PathBuf);

impl Place {
    fn new(name: &str) -> Self {
        let place = std::env::temp_dir().join(format!("milletpath-records-{}-{name}", std::process::id()));
        let _ = std::fs::remove_file(&place);
        Self(place)
    }

    fn open(&self) -> (RecordFile, Held) {
        RecordFile::open(&self.0).unwrap_or_else(|e| panic!("{e}"))
    }

    fn bytes(&self) -> Vec<u8> {
        std::fs::read(&self.0).unwrap()
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

fn three() -> Vec<Vec<u8>> {
    vec![b"first".to_vec(), Vec::new(), vec![0xff; 300]]
}

#[test]
fn what_was_appended_is_read_again() {
    let place = Place::new("again");
    let (mut file, held) = place.open();
    assert_eq!(held, Held::default());
    file.append(&three()[..1]).unwrap();
    file.append(&three()[1..]).unwrap();
    let (mut file, held) = place.open();
    assert_eq!(held, Held { records: three(), cut: 0 });
    file.append(&[b"fourth".to_vec()]).unwrap();
    assert_eq!(place.open().1.records.len(), 4);
}

/// Cut anywhere: the whole records before the cut are there, and the next one goes where the torn one stood.
#[test]
fn a_file_cut_at_any_byte_keeps_its_whole_records() {
    let place = Place::new("cut");
    place.open().0.append(&three()).unwrap();
    let whole = place.bytes();
    let ends = [HEAD.len(), HEAD.len() + FRAME + 5, HEAD.len() + 2 * FRAME + 5, whole.len()];
    for cut in 0..=whole.len() {
        std::fs::write(&place.0, &whole[..cut]).unwrap();
        let (mut file, held) = place.open();
        let there = ends.iter().skip(1).filter(|end| **end <= cut).count();
        assert_eq!(held.records, three()[..there], "cut at {cut}");
        let torn = cut.saturating_sub(ends[there]);
        assert_eq!(held.cut, torn as u64, "cut at {cut}");
        file.append(&[b"next".to_vec()]).unwrap();
        let held = place.open().1;
        assert_eq!((held.records.len(), held.cut), (there + 1, 0), "cut at {cut}");
    }
}

/// A crash that left the place of the last records, but not what was written there.
#[test]
fn zeros_at_the_end_are_a_torn_record() {
    let place = Place::new("zeros");
    place.open().0.append(&three()).unwrap();
    let whole = place.bytes();
    let last = HEAD.len() + 2 * FRAME + 5;
    for from in [last, last + FRAME, last + FRAME + 100] {
        let mut bytes = whole.clone();
        bytes[from..].fill(0);
        bytes.extend([0; 40]);
        std::fs::write(&place.0, &bytes).unwrap();
        let held = place.open().1;
        assert_eq!((held.records, held.cut), (three()[..2].to_vec(), (bytes.len() - last) as u64), "{from}");
    }
}

/// One bit turned anywhere: no record is read that was not written, and none is passed over in silence.
#[test]
fn a_rotten_bit_is_told_with_its_place() {
    let place = Place::new("rotten");
    place.open().0.append(&three()).unwrap();
    let whole = place.bytes();
    for at in 0..whole.len() {
        let mut bytes = whole.clone();
        bytes[at] ^= 1 << (at % 8);
        std::fs::write(&place.0, &bytes).unwrap();
        match RecordFile::open(&place.0) {
            Err(Unfit::Other) => assert!(at < HEAD.len()),
            Err(Unfit::Rotten(record)) => {
                assert!(record <= at as u64 && at >= HEAD.len());
                let told = Unfit::Rotten(record).to_string();
                assert!(told.contains(&format!("byte {record}")) && told.contains("move the file"), "{told}");
            }
            other => panic!("bit {} of byte {at}: {:?}", at % 8, other.map(|(_, held)| held)),
        }
        assert_eq!(place.bytes(), bytes, "what is rotten is left as it is");
    }
}

#[test]
fn a_file_that_has_grown_is_written_anew() {
    let place = Place::new("anew");
    let (mut file, _) = place.open();
    for _ in 0..20 {
        file.append(&three()).unwrap();
    }
    assert!(file.has_grown(4, 1000) && !file.has_grown(4, 1 << 20) && !file.has_grown(10_000, 0));
    // What a crash left behind amid the last time.
    let beside = format!("{}.new", place.0.display());
    std::fs::write(&beside, "half").unwrap();
    file.rewrite(&three()).unwrap();
    assert!(!file.has_grown(4, 0) && !Path::new(&beside).exists());
    file.append(&[b"behind".to_vec()]).unwrap();
    let held = place.open().1;
    assert_eq!((held.records[..3].to_vec(), held.records.len(), held.cut), (three(), 4, 0));
}
