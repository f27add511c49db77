// File access for the state folder. Transient I/O errors of the disk are expected and retried or reported.
//
// Nothing is synced to the disk: written data survives a crash of the process, but may be lost when the
// machine crashes or loses power.
#pragma once

#include <cstddef>
#include <functional>
#include <optional>
#include <string>

#include "net/file_descriptor.h"

namespace opalroute {

constexpr std::size_t kDiskBlockBytes = 512;  // the state folder's disk limit counts whole blocks per file

// Calls `attempt` until it returns true. `attempt` must set errno when it returns false; it is retried every
// 10 ms for about a second, after which std::system_error is thrown with the last errno and `what`. An
// interrupted attempt (EINTR) is retried at once and does not count.
void RetryTransientErrors(const std::string& what, const std::function<bool()>& attempt);

// Opens a file for reading and writing. A file that does not exist is created with access for its owner only.
// Throws std::system_error, with the path, after a second of failed attempts.
net::FileDescriptor OpenOrCreate(const std::string& path);

// Returns the content of an open file. Throws std::system_error, with `path`, if a read keeps failing for a
// second: a failed read is never treated as the end of the file.
std::string ReadWholeFile(int fd, const std::string& path);

// Returns the content of the file, or nullopt if it does not exist. Throws as ReadWholeFile does.
std::optional<std::string> ReadFileIfExists(const std::string& path);

// Writes all bytes at `offset`. Returns false, with errno set, on an error; some bytes may then be written.
bool WriteAllAt(int fd, const std::string& bytes, std::size_t offset);

// Replaces the content of a file atomically: writes `path`.new and renames it. If the process ends at any
// point, the file has either its complete old content or its complete new one. Returns false, with errno set,
// if the old content remains. Two processes must not replace the same file at the same time.
bool ReplaceFile(const std::string& path, const std::string& bytes);

}  // namespace opalroute
