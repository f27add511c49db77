#include "log/log.h"

#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <algorithm>

namespace opalroute::log {

namespace {

using nlohmann::json;

LineFormat active_format = LineFormat::kText;

std::string Dump(const json& value) { return value.dump(-1, ' ', true, json::error_handler_t::replace); }

// Whether the text can be written without quotes.
bool NeedsNoQuotes(const std::string& text) {
  return !text.empty() && std::all_of(text.begin(), text.end(),
                                      [](char c) { return c > 0x20 && c < 0x7f && c != '"' && c != '='; });
}

}  // namespace

void Start(LineFormat format, Level level) {
  active_format = format;
  spdlog::set_default_logger(spdlog::stdout_logger_st("opalroute"));
  spdlog::set_level(level);
  spdlog::flush_on(Level::info);
  spdlog::set_pattern(format == LineFormat::kJson ? R"({"time":"%Y-%m-%dT%H:%M:%S.%e%z","level":"%l",%v)"
                                                  : "%Y-%m-%d %H:%M:%S.%e %l %v");
}

std::string FormatLine(LineFormat format, std::string_view event, Fields fields) {
  if (format == LineFormat::kJson) {
    nlohmann::ordered_json line;
    line["event"] = event;
    for (const Field& field : fields) line[field.key] = field.value;
    return line.dump(-1, ' ', true, json::error_handler_t::replace).substr(1);
  }
  std::string line(event);
  for (const Field& field : fields) {
    const bool bare = field.value.is_string() && NeedsNoQuotes(field.value.get_ref<const std::string&>());
    line += std::string(" ") + field.key + "=" + (bare ? field.value.get<std::string>() : Dump(field.value));
  }
  return line;
}

bool IsEnabled(Level level) { return spdlog::should_log(level); }

void Write(Level level, std::string_view event, Fields fields) {
  if (!IsEnabled(level)) return;
  spdlog::log(level, "{}", FormatLine(active_format, event, fields));
}

}  // namespace opalroute::log
