// Files that outlive the process, on a disk whose reads and writes may fail for a while.
#pragma once

#include <cstddef>
#include <functional>
#include <optional>
#include <string>

namespace opalroute {

// Calls `attempt` until it returns true. An error is waited out for a second; then std::system_error is
// thrown, with errno as the last attempt left it and with `what`.
void RetryForASecond(const std::string& what, const std::function<bool()>& attempt);

// Opens a file for reading and writing, and makes it if it is not there. Waits errors out.
int OpenOrCreate(const std::string& path);

// All bytes of an open file. A read that fails is tried again for a second; then std::system_error is thrown.
// A failed read is never taken for the end of the file. `name` stands in the error.
std::string ReadWholeFile(int fd, const std::string& name);

// The same by name; nothing if there is no such file.
std::optional<std::string> ReadFileIfThere(const std::string& path);

// Writes all bytes from that place on. False, with errno set: some of them may be written.
bool WriteAllAt(int fd, const std::string& bytes, std::size_t at);

// Lets a new file take the name in one step: whenever the process ends, the old content or the new one stands
// whole under it. False, with errno set: the old one does. Two processes must not replace a file at once.
bool ReplaceFile(const std::string& path, const std::string& bytes);

}  // namespace opalroute
