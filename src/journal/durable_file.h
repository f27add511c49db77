// Files of the state folder. They outlive the process, on a disk whose reads and writes may fail for a while.
//
// Data that a write call has accepted survives the end of the process without a sync; it is lost only with
// the machine or its power.
#pragma once

#include <cstddef>
#include <functional>
#include <optional>
#include <string>

#include "net/file_descriptor.h"

namespace opalroute {

constexpr std::size_t kDiskBlockBytes = 512;  // the limit of the state folder counts files in whole blocks

// Calls `attempt` until it returns true. A failed attempt leaves its error in errno and is repeated every 10
// ms for about a second; then std::system_error is thrown with the last errno and with `what`. An interrupted
// attempt (EINTR) is repeated at once and does not count.
void RetryTransientErrors(const std::string& what, const std::function<bool()>& attempt);

// Opens a file for reading and writing; creates it, readable by its owner alone, if it does not exist. Throws
// std::system_error, with the path, if that fails for a second.
net::FileDescriptor OpenOrCreate(const std::string& path);

// All bytes of an open file. Throws std::system_error, with `path`, if a read fails for a second: a failed
// read is never taken for the end of the file.
std::string ReadWholeFile(int fd, const std::string& path);

// All bytes of the file with this path, nothing if there is none. Throws as ReadWholeFile does.
std::optional<std::string> ReadFileIfExists(const std::string& path);

// Writes all bytes at `offset`. Returns false, with errno set, after an error: some of them may be written.
bool WriteAllAt(int fd, const std::string& bytes, std::size_t offset);

// Replaces the content of a file atomically (by way of `path`.new): whenever the process ends, the path names
// either the complete old content or the complete new one. Returns false, with errno set, if the old one is
// still there. Two processes must not replace one file at the same time.
bool ReplaceFile(const std::string& path, const std::string& bytes);

}  // namespace opalroute
