//! A folder in memory that fails where a test asks for it, and that loses at a power failure what was never made durable.

use crate::folder::{Folder, FolderFile};
use nix::errno::Errno;
use std::cell::{RefCell, RefMut};
use std::collections::BTreeMap;
use std::io::{self, Write};
use std::ops::Range;
use std::rc::Rc;

/// The kinds of operations of a folder and its files.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Operation {
    /// [`Folder::read`].
    Read,
    /// [`Folder::create`].
    Create,
    /// A write to a file.
    Write,
    /// [`FolderFile::sync`].
    SyncFile,
    /// [`Folder::rename`].
    Rename,
    /// [`Folder::remove`].
    Remove,
    /// [`Folder::names`].
    List,
    /// [`Folder::sync`].
    SyncFolder,
}

/// How an operation fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The operation fails without effect, except that bytes whose sync failed never become durable.
    Fails(Errno),
    /// The operation fails after it took effect; a write after half of its bytes.
    FailsAfter(Errno),
    /// A write accepts half of its bytes, and reports that.
    ShortWrite,
    /// The process is killed before the operation, or during a write.
    Killed {
        /// Bytes that the write accepts before.
        after: usize,
    },
}

/// What a power failure leaves of what was not made durable.
#[derive(Clone, Copy, Debug)]
pub struct PowerLoss {
    /// Whether names are kept although the folder was not synced.
    pub keeps_names: bool,
    /// Number of bytes of each file that are kept although it was not synced.
    pub keeps_bytes: usize,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Byte {
    Written,
    Durable,
    /// Its sync failed: the system considers it clean, and no later sync writes it.
    Lost,
}

#[derive(Clone, Debug, Default)]
struct Inode {
    bytes: Vec<u8>,
    status: Vec<Byte>,
}

impl Inode {
    fn write(&mut self, bytes: &[u8]) {
        self.bytes.extend(bytes);
        self.status.resize(self.bytes.len(), Byte::Written);
    }

    fn mark_unsynced(&mut self, to: Byte) {
        self.status.iter_mut().filter(|s| **s == Byte::Written).for_each(|s| *s = to);
    }

    /// Drops what a power failure loses.
    fn lose_power(&mut self, mut keeps: usize) {
        let mut left = Vec::new();
        for (byte, status) in self.bytes.iter().zip(&self.status) {
            match status {
                Byte::Durable => left.push(*byte),
                Byte::Lost => left.push(0),
                Byte::Written if keeps > 0 => {
                    keeps -= 1;
                    left.push(*byte);
                }
                Byte::Written => break,
            }
        }
        self.status = vec![Byte::Durable; left.len()];
        self.bytes = left;
    }
}

#[derive(Clone, Debug, Default)]
struct Disk {
    inodes: Vec<Inode>,
    names: BTreeMap<String, usize>,
    durable_names: BTreeMap<String, usize>,
    operations: Vec<Operation>,
    faults: Vec<(Range<usize>, Fault)>,
    failing_kinds: Vec<(Operation, Fault)>,
    killed: bool,
}

/// A folder in memory; clones share it.
#[derive(Clone, Debug, Default)]
pub struct FaultyFolder {
    disk: Rc<RefCell<Disk>>,
}

/// A file of a [`FaultyFolder`].
#[derive(Debug)]
pub struct FaultyFile {
    disk: Rc<RefCell<Disk>>,
    inode: usize,
}

impl FaultyFolder {
    /// Makes the operations with these indexes, counted from 0, fail.
    pub fn fail_operations(&self, operations: Range<usize>, fault: Fault) {
        self.disk.borrow_mut().faults.push((operations, fault));
    }

    /// Makes all operations of this kind fail from now on.
    pub fn fail_kind(&self, operation: Operation, fault: Fault) {
        self.disk.borrow_mut().failing_kinds.push((operation, fault));
    }

    /// Clears all faults; a process that was killed can use the folder again.
    pub fn clear_faults(&self) {
        let mut disk = self.disk.borrow_mut();
        disk.clear_faults();
    }

    /// Whether a fault killed the process that uses it.
    #[must_use]
    pub fn is_killed(&self) -> bool {
        self.disk.borrow().killed
    }

    /// All operations so far.
    #[must_use]
    pub fn operations(&self) -> Vec<Operation> {
        self.disk.borrow().operations.clone()
    }

    /// An independent folder as this one would be after a power failure now.
    #[must_use]
    pub fn after(&self, loss: PowerLoss) -> Self {
        let mut disk = self.disk.borrow().clone();
        let names = if loss.keeps_names { &disk.names } else { &disk.durable_names };
        disk.names = names.clone();
        disk.durable_names = disk.names.clone();
        disk.inodes.iter_mut().for_each(|inode| inode.lose_power(loss.keeps_bytes));
        disk.clear_faults();
        Self { disk: Rc::new(RefCell::new(disk)) }
    }

    /// The names of all files.
    #[must_use]
    pub fn names(&self) -> Vec<String> {
        self.disk.borrow().names.keys().cloned().collect()
    }

    /// Adds a durable file.
    pub fn put(&self, name: &str, bytes: &[u8]) {
        let mut disk = self.disk.borrow_mut();
        disk.inodes.push(Inode { bytes: bytes.to_vec(), status: vec![Byte::Durable; bytes.len()] });
        let inode = disk.inodes.len() - 1;
        disk.names.insert(name.to_owned(), inode);
        disk.durable_names.insert(name.to_owned(), inode);
    }
}

fn killed() -> io::Error {
    io::Error::other("the process was killed")
}

impl Disk {
    fn clear_faults(&mut self) {
        self.faults.clear();
        self.failing_kinds.clear();
        self.killed = false;
    }

    /// Counts an operation, and returns its fault.
    fn begin(&mut self, operation: Operation) -> io::Result<Option<Fault>> {
        if self.killed {
            return Err(killed());
        }
        let number = self.operations.len();
        self.operations.push(operation);
        let numbered =
            self.faults.iter().filter(|(range, _)| range.contains(&number)).map(|(_, fault)| *fault);
        let of_kind =
            self.failing_kinds.iter().filter(|(kind, _)| *kind == operation).map(|(_, fault)| *fault);
        let fault = numbered.chain(of_kind).next();
        if let Some(Fault::Killed { .. }) = fault {
            self.killed = true;
        }
        Ok(fault)
    }

    /// An operation other than a write.
    fn operate<T>(
        &mut self,
        operation: Operation,
        operation_body: impl FnOnce(&mut Self) -> io::Result<T>,
    ) -> io::Result<T> {
        match self.begin(operation)? {
            Some(Fault::Fails(errno)) => Err(errno.into()),
            Some(Fault::FailsAfter(errno)) => operation_body(self).and_then(|_| Err(errno.into())),
            Some(Fault::Killed { .. }) => Err(killed()),
            Some(Fault::ShortWrite) | None => operation_body(self),
        }
    }

    fn inode(&self, name: &str) -> io::Result<usize> {
        self.names.get(name).copied().ok_or_else(|| io::ErrorKind::NotFound.into())
    }
}

impl Folder for FaultyFolder {
    type File = FaultyFile;

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        let read = |disk: &mut Disk| disk.inode(name).map(|inode| disk.inodes[inode].bytes.clone());
        self.disk.borrow_mut().operate(Operation::Read, read)
    }

    fn create(&self, name: &str) -> io::Result<FaultyFile> {
        let inode = self.disk.borrow_mut().operate(Operation::Create, |disk| {
            if disk.names.contains_key(name) {
                return Err(io::ErrorKind::AlreadyExists.into());
            }
            disk.inodes.push(Inode::default());
            disk.names.insert(name.to_owned(), disk.inodes.len() - 1);
            Ok(disk.inodes.len() - 1)
        })?;
        Ok(FaultyFile { disk: self.disk.clone(), inode })
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        self.disk.borrow_mut().operate(Operation::Rename, |disk| {
            let inode = disk.inode(from)?;
            disk.names.remove(from);
            disk.names.insert(to.to_owned(), inode);
            Ok(())
        })
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        self.disk.borrow_mut().operate(Operation::Remove, |disk| {
            disk.inode(name)?;
            disk.names.remove(name);
            Ok(())
        })
    }

    fn names(&self) -> io::Result<Vec<String>> {
        let list = |disk: &mut Disk| Ok(disk.names.keys().cloned().collect());
        self.disk.borrow_mut().operate(Operation::List, list)
    }

    fn sync(&self) -> io::Result<()> {
        self.disk.borrow_mut().operate(Operation::SyncFolder, |disk| {
            disk.durable_names = disk.names.clone();
            Ok(())
        })
    }
}

impl FaultyFile {
    fn disk(&self) -> RefMut<'_, Disk> {
        self.disk.borrow_mut()
    }
}

impl Write for FaultyFile {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let mut disk = self.disk();
        let half = bytes.len().div_ceil(2);
        let (accepted_bytes, result) = match disk.begin(Operation::Write)? {
            None => (bytes.len(), Ok(bytes.len())),
            Some(Fault::Fails(errno)) => (0, Err(errno.into())),
            Some(Fault::FailsAfter(errno)) => (half, Err(errno.into())),
            Some(Fault::ShortWrite) => (half, Ok(half)),
            Some(Fault::Killed { after }) => (after.min(bytes.len()), Err(killed())),
        };
        disk.inodes[self.inode].write(&bytes[..accepted_bytes]);
        result
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl FolderFile for FaultyFile {
    fn sync(&mut self) -> io::Result<()> {
        let inode = self.inode;
        let mut disk = self.disk();
        let result = disk.operate(Operation::SyncFile, |disk| {
            disk.inodes[inode].mark_unsynced(Byte::Durable);
            Ok(())
        });
        if result.is_err() && !disk.killed {
            disk.inodes[inode].mark_unsynced(Byte::Lost);
        }
        result
    }
}
