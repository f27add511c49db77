// How the transfer of a snapshot ended, over a connection or from a file.
#pragma once

namespace opalroute::state_transfer {

enum class SnapshotResult {
  kComplete,
  kNoFile,
  kTruncated,      // it broke off, or has lost a chunk
  kTimedOut,       // not complete in time
  kNotConnected,   // no connection to the relay asked
  kCorrupt,        // damaged, or not in this format
  kNewerVersion,   // its reader must know a newer version
  kOlderVersion,   // its version is no longer read
  kOwn,            // the relay has asked itself
  kLimitExceeded,  // more routes or bytes than allowed
};

// The text that operators are shown.
const char* NameOf(SnapshotResult result);

}  // namespace opalroute::state_transfer
