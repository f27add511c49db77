// Structured logging on top of spdlog: each line has an event name and key-value fields, as text or as JSON.
//
// Text:  2026-12-01 12:00:00.000 info  endpoint_ignored endpoint=e1 zone="first floor"
// JSON:
// {"time":"2026-12-01T12:00:00.000+00:00","level":"info","event":"endpoint_ignored","endpoint":"e1",...}
// Values may hold any bytes: invalid UTF-8 is replaced, and control characters are escaped, so that a value
// can't forge a log line.
#pragma once

#include <spdlog/common.h>

#include <initializer_list>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace opalroute::log {

enum class LineFormat { kText, kJson };
using Level = spdlog::level::level_enum;

struct Field {
  const char* key;  // lower case, words joined by '_'
  nlohmann::json value;
};
using Fields = std::initializer_list<Field>;

// Sets up logging to standard output.
void Start(LineFormat format, Level level);

// The part of a line after its time and level.
std::string FormatLine(LineFormat format, std::string_view event, Fields fields);

bool IsEnabled(Level level);  // for lines whose fields are costly to build
void Write(Level level, std::string_view event, Fields fields);
inline void Debug(std::string_view event, Fields fields) { Write(Level::debug, event, fields); }
inline void Info(std::string_view event, Fields fields) { Write(Level::info, event, fields); }
inline void Warn(std::string_view event, Fields fields) { Write(Level::warn, event, fields); }
inline void Error(std::string_view event, Fields fields) { Write(Level::err, event, fields); }

}  // namespace opalroute::log
