//! The limit on open file descriptors of this process.

use nix::sys::resource::{Resource, getrlimit, setrlimit};

/// Why the limit can't be raised as far as a run needs.
#[derive(Debug, thiserror::Error)]
pub enum DescriptorLimitError {
    /// The hard limit is too low.
    #[error(
        "the run needs {needed} open files and the hard limit is {allowed}; raise the limit or use fewer gateways"
    )]
    TooLow {
        /// Number of descriptors that the run needs.
        needed: u64,
        /// The hard limit.
        allowed: u64,
    },
    /// The limit can't be read or set.
    #[error("the limit on open files can't be read or raised: {0}")]
    System(#[from] nix::Error),
}

/// Raises the soft limit to `needed` if it is lower.
///
/// # Errors
///
/// The hard limit is lower than `needed`, or the system refuses to read or set the limit.
pub fn raise_descriptor_limit(needed: u64) -> Result<(), DescriptorLimitError> {
    let (soft, hard) = getrlimit(Resource::RLIMIT_NOFILE)?;
    if soft < needed && soft < hard {
        setrlimit(Resource::RLIMIT_NOFILE, needed.min(hard), hard)?;
    }
    if hard < needed {
        return Err(DescriptorLimitError::TooLow { needed, allowed: hard });
    }
    Ok(())
}
