// Reads typed fields of JSON objects. Errors name the field that is missing or has the wrong type.
#pragma once

#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>
#include <type_traits>
#include <utility>
#include <vector>

namespace opalroute::config {

// Its text says in one line what is wrong with the input, and where.
class FieldError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Several errors at once.
class FieldErrors : public FieldError {
 public:
  explicit FieldErrors(std::vector<std::string> messages)
      : FieldError(Join(messages)), messages_(std::move(messages)) {}
  const std::vector<std::string>& messages() const { return messages_; }

 private:
  static std::string Join(const std::vector<std::string>& messages) {
    std::string text;
    for (const std::string& message : messages) text += (text.empty() ? "" : "; ") + message;
    return text;
  }
  std::vector<std::string> messages_;
};

// Collects the errors of several steps, so that all are reported together.
class ErrorCollector {
 public:
  template <typename Step>
  void Try(const Step& step) {
    try {
      step();
    } catch (const FieldErrors& errors) {
      for (const std::string& message : errors.messages()) Add(message);
    } catch (const FieldError& error) {
      Add(error.what());
    }
  }
  // Like Try, with `context` in front of the step's errors.
  template <typename Step>
  void WithContext(const std::string& context, const Step& step) {
    const std::string outer = context_;
    context_ += context;
    Try(step);
    context_ = outer;
  }
  bool empty() const { return messages_.empty(); }
  void ThrowIfAny() const {
    if (!messages_.empty()) throw FieldErrors(messages_);
  }

 private:
  void Add(const std::string& message) { messages_.push_back(context_ + message); }
  std::string context_;
  std::vector<std::string> messages_;
};

// The names of an enum's values in the input.
template <typename T>
using EnumNames = std::vector<std::pair<const char*, T>>;

// The field's value; null if it is missing or is JSON null.
inline const nlohmann::json* Find(const nlohmann::json& object, const char* field) {
  const auto it = object.find(field);
  return it == object.end() || it->is_null() ? nullptr : &*it;
}

inline const nlohmann::json& Require(const nlohmann::json& object, const char* field) {
  if (!object.is_object()) throw FieldError(std::string("field '") + field + "' is not in an object");
  const nlohmann::json* value = Find(object, field);
  if (value == nullptr) throw FieldError(std::string("missing field '") + field + "'");
  return *value;
}

template <typename T>
T As(const nlohmann::json& value, const char* field) {
  bool fits = false;
  if constexpr (std::is_same_v<T, std::string>) {
    fits = value.is_string();
  } else if constexpr (std::is_same_v<T, bool>) {
    fits = value.is_boolean();
  } else if constexpr (std::is_integral_v<T>) {
    fits = value.is_number_integer();
  } else {
    fits = value.is_number();
  }
  if (!fits) throw FieldError(std::string("field '") + field + "' has the wrong type");
  return value.get<T>();
}

template <typename T>
T Get(const nlohmann::json& object, const char* field) {
  return As<T>(Require(object, field), field);
}

template <typename T>
T GetOr(const nlohmann::json& object, const char* field, T default_value) {
  const nlohmann::json* value = Find(object, field);
  return value == nullptr ? default_value : As<T>(*value, field);
}

template <typename T>
T GetEnum(const EnumNames<T>& names, const nlohmann::json& object, const char* field) {
  const auto text = Get<std::string>(object, field);
  for (const auto& [name, value] : names) {
    if (text == name) return value;
  }
  throw FieldError(std::string("field '") + field + "' has the unknown value '" + text + "'");
}

// The strings of the array `field`, or the string `inner` of each of its objects if that is not null. Empty
// if the array is missing.
inline std::vector<std::string> NamesIn(const nlohmann::json& options, const char* field, const char* inner) {
  std::vector<std::string> names;
  const nlohmann::json* list = Find(options, field);
  if (list == nullptr) return names;
  if (!list->is_array()) throw FieldError(std::string("field '") + field + "' is not an array");
  for (const nlohmann::json& item : *list) {
    names.push_back(inner == nullptr ? As<std::string>(item, field) : Get<std::string>(item, inner));
  }
  return names;
}

}  // namespace opalroute::config
