//! An in-memory folder with fault injection. A simulated power failure drops the data that was never made durable.

use crate::folder::{Folder, FolderFile};
use nix::errno::Errno;
use std::cell::{RefCell, RefMut};
use std::collections::BTreeMap;
use std::io::{self, Write};
use std::ops::Range;
use std::rc::Rc;

/// The kinds of operations on a folder and its files.
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
    /// The operation fails without effect, except that a failed sync of a file loses the bytes that were not yet durable.
    Fails(Errno),
    /// The operation fails after it took effect; a write fails after it accepted half of its bytes.
    FailsAfter(Errno),
    /// A write accepts half of its bytes and returns their number. Other operations succeed.
    ShortWrite,
    /// The process is killed before the operation, or during a write.
    Killed {
        /// Number of bytes that the write accepts before the kill.
        after: usize,
    },
}

/// What a power failure preserves of the state that was not made durable.
#[derive(Clone, Copy, Debug)]
pub struct PowerLoss {
    /// Whether names are kept although the folder was not synced.
    pub keeps_names: bool,
    /// Number of unsynced bytes that are kept of each file.
    pub keeps_bytes: usize,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ByteState {
    Written,
    Durable,
    /// A sync of the file failed: the operating system considers the byte clean, and no later sync writes it.
    Lost,
}

#[derive(Clone, Debug, Default)]
struct Inode {
    bytes: Vec<u8>,
    status: Vec<ByteState>,
}

impl Inode {
    fn write(&mut self, bytes: &[u8]) {
        self.bytes.extend(bytes);
        self.status.resize(self.bytes.len(), ByteState::Written);
    }

    fn mark_unsynced(&mut self, to: ByteState) {
        self.status.iter_mut().filter(|s| **s == ByteState::Written).for_each(|s| *s = to);
    }

    /// Simulates a power failure: bytes whose sync failed become zero, and unsynced bytes beyond `kept_bytes` are dropped.
    fn lose_power(&mut self, mut kept_bytes: usize) {
        let mut remaining = Vec::new();
        for (byte, status) in self.bytes.iter().zip(&self.status) {
            match status {
                ByteState::Durable => remaining.push(*byte),
                ByteState::Lost => remaining.push(0),
                ByteState::Written if kept_bytes > 0 => {
                    kept_bytes -= 1;
                    remaining.push(*byte);
                }
                ByteState::Written => break,
            }
        }
        self.status = vec![ByteState::Durable; remaining.len()];
        self.bytes = remaining;
    }
}

#[derive(Clone, Debug, Default)]
struct Disk {
    inodes: Vec<Inode>,
    names: BTreeMap<String, usize>,
    durable_names: BTreeMap<String, usize>,
    operations: Vec<Operation>,
    faults_by_index: Vec<(Range<usize>, Fault)>,
    faults_by_kind: Vec<(Operation, Fault)>,
    killed: bool,
}

/// An in-memory folder with fault injection. Clones share its state.
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
    /// Injects a fault into the operations with these indexes in [`operations`](Self::operations).
    pub fn fail_operations(&self, operations: Range<usize>, fault: Fault) {
        self.disk.borrow_mut().faults_by_index.push((operations, fault));
    }

    /// Injects a fault into all operations of this kind from now on.
    pub fn fail_kind(&self, operation: Operation, fault: Fault) {
        self.disk.borrow_mut().faults_by_kind.push((operation, fault));
    }

    /// Clears all faults. After a simulated kill the folder can be used again.
    pub fn clear_faults(&self) {
        let mut disk = self.disk.borrow_mut();
        disk.clear_faults();
    }

    /// Whether a fault has killed the simulated process.
    #[must_use]
    pub fn is_killed(&self) -> bool {
        self.disk.borrow().killed
    }

    /// All operations so far, in order.
    #[must_use]
    pub fn operations(&self) -> Vec<Operation> {
        self.disk.borrow().operations.clone()
    }

    /// Returns an independent copy of this folder as it would be after a power failure now, without faults.
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

    /// The names of all files. Unlike [`Folder::names`] this is not an operation, so no fault applies.
    #[must_use]
    pub fn names(&self) -> Vec<String> {
        self.disk.borrow().names.keys().cloned().collect()
    }

    /// Adds a file that is durable.
    pub fn put(&self, name: &str, bytes: &[u8]) {
        let mut disk = self.disk.borrow_mut();
        disk.inodes.push(Inode { bytes: bytes.to_vec(), status: vec![ByteState::Durable; bytes.len()] });
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
        self.faults_by_index.clear();
        self.faults_by_kind.clear();
        self.killed = false;
    }

    /// Records an operation and returns the fault injected into it. After a kill every operation fails.
    fn begin(&mut self, operation: Operation) -> io::Result<Option<Fault>> {
        if self.killed {
            return Err(killed());
        }
        let number = self.operations.len();
        self.operations.push(operation);
        let by_index =
            self.faults_by_index.iter().filter(|(range, _)| range.contains(&number)).map(|(_, fault)| *fault);
        let by_kind =
            self.faults_by_kind.iter().filter(|(kind, _)| *kind == operation).map(|(_, fault)| *fault);
        let fault = by_index.chain(by_kind).next();
        if let Some(Fault::Killed { .. }) = fault {
            self.killed = true;
        }
        Ok(fault)
    }

    /// Runs an operation other than a write, with the fault injected into it.
    fn run<T>(
        &mut self,
        operation: Operation,
        effect: impl FnOnce(&mut Self) -> io::Result<T>,
    ) -> io::Result<T> {
        match self.begin(operation)? {
            Some(Fault::Fails(errno)) => Err(errno.into()),
            Some(Fault::FailsAfter(errno)) => effect(self).and_then(|_| Err(errno.into())),
            Some(Fault::Killed { .. }) => Err(killed()),
            Some(Fault::ShortWrite) | None => effect(self),
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
        self.disk.borrow_mut().run(Operation::Read, read)
    }

    fn create(&self, name: &str) -> io::Result<FaultyFile> {
        let inode = self.disk.borrow_mut().run(Operation::Create, |disk| {
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
        self.disk.borrow_mut().run(Operation::Rename, |disk| {
            let inode = disk.inode(from)?;
            disk.names.remove(from);
            disk.names.insert(to.to_owned(), inode);
            Ok(())
        })
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        self.disk.borrow_mut().run(Operation::Remove, |disk| {
            disk.inode(name)?;
            disk.names.remove(name);
            Ok(())
        })
    }

    fn names(&self) -> io::Result<Vec<String>> {
        let list = |disk: &mut Disk| Ok(disk.names.keys().cloned().collect());
        self.disk.borrow_mut().run(Operation::List, list)
    }

    fn sync(&self) -> io::Result<()> {
        self.disk.borrow_mut().run(Operation::SyncFolder, |disk| {
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
        let result = disk.run(Operation::SyncFile, |disk| {
            disk.inodes[inode].mark_unsynced(ByteState::Durable);
            Ok(())
        });
        if result.is_err() && !disk.killed {
            disk.inodes[inode].mark_unsynced(ByteState::Lost);
        }
        result
    }
}
