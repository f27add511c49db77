// How receiving a snapshot over a connection, or loading one from a file, ended.
#pragma once

namespace opalroute::state_transfer {

enum class SnapshotResult {
  kComplete,
  kNoFile,
  kTruncated,      // it ended early, or a chunk is missing
  kTimedOut,       // not complete in time
  kNotConnected,   // the connection to the server failed
  kCorrupt,        // damaged, or not in this format
  kNewerVersion,   // it requires a reader of a newer version
  kOlderVersion,   // its version is no longer supported
  kOwn,            // the server is the requesting relay itself
  kLimitExceeded,  // more routes or bytes than allowed
};

// The name that logs and commands show.
const char* NameOf(SnapshotResult result);

}  // namespace opalroute::state_transfer
