#include "state_transfer/snapshot_result.h"

namespace opalroute::state_transfer {

const char* NameOf(SnapshotResult result) {
  switch (result) {
    case SnapshotResult::kComplete:
      return "whole";
    case SnapshotResult::kNoFile:
      return "none";
    case SnapshotResult::kTruncated:
      return "cut";
    case SnapshotResult::kTimedOut:
      return "late";
    case SnapshotResult::kNotConnected:
      return "refused";
    case SnapshotResult::kCorrupt:
      return "garbled";
    case SnapshotResult::kNewerVersion:
      return "newer";
    case SnapshotResult::kOlderVersion:
      return "older";
    case SnapshotResult::kOwn:
      return "itself";
    case SnapshotResult::kLimitExceeded:
      return "too_much";
  }
  return "";
}

}  // namespace opalroute::state_transfer
