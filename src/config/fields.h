// Reads fields of JSON objects. What is missing or has the wrong form is named in the error.
#pragma once

#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>
#include <type_traits>
#include <utility>
#include <vector>

namespace opalroute::config {

// Says in one line what is wrong with the input, and where.
class FieldError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Several at once, one a line.
class Faults : public FieldError {
 public:
  explicit Faults(std::vector<std::string> all) : FieldError(Join(all)), all_(std::move(all)) {}
  const std::vector<std::string>& all() const { return all_; }

 private:
  static std::string Join(const std::vector<std::string>& all) {
    std::string text;
    for (const std::string& one : all) text += (text.empty() ? "" : "; ") + one;
    return text;
  }
  std::vector<std::string> all_;
};

// Goes on after a fault, so that all of them are told together.
class Collector {
 public:
  template <typename Step>
  void Try(const Step& step) {
    try {
      step();
    } catch (const Faults& faults) {
      for (const std::string& fault : faults.all()) Add(fault);
    } catch (const FieldError& error) {
      Add(error.what());
    }
  }
  // Faults found inside carry this in front.
  template <typename Step>
  void In(const std::string& place, const Step& step) {
    const std::string outer = place_;
    place_ += place;
    Try(step);
    place_ = outer;
  }
  bool clean() const { return all_.empty(); }
  void Throw() const {
    if (!all_.empty()) throw Faults(all_);
  }

 private:
  void Add(const std::string& fault) { all_.push_back(place_ + fault); }
  std::string place_;
  std::vector<std::string> all_;
};

template <typename T>
using Words = std::vector<std::pair<const char*, T>>;

inline const nlohmann::json* Find(const nlohmann::json& object, const char* field) {
  const auto it = object.find(field);
  return it == object.end() || it->is_null() ? nullptr : &*it;
}

inline const nlohmann::json& Need(const nlohmann::json& object, const char* field) {
  if (!object.is_object()) throw FieldError(std::string("no object around '") + field + "'");
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
  if (!fits) throw FieldError(std::string("field '") + field + "' has the wrong form");
  return value.get<T>();
}

template <typename T>
T Get(const nlohmann::json& object, const char* field) {
  return As<T>(Need(object, field), field);
}

template <typename T>
T GetOr(const nlohmann::json& object, const char* field, T absent) {
  const nlohmann::json* value = Find(object, field);
  return value == nullptr ? absent : As<T>(*value, field);
}

template <typename T>
T Word(const Words<T>& words, const nlohmann::json& object, const char* field) {
  const auto word = Get<std::string>(object, field);
  for (const auto& [name, value] : words) {
    if (word == name) return value;
  }
  throw FieldError(std::string("field '") + field + "' holds the unknown word '" + word + "'");
}

inline std::vector<std::string> NamesIn(const nlohmann::json& options, const char* field, const char* inner) {
  std::vector<std::string> names;
  const nlohmann::json* list = Find(options, field);
  if (list == nullptr) return names;
  if (!list->is_array()) throw FieldError(std::string("field '") + field + "' is no array");
  for (const nlohmann::json& item : *list) {
    names.push_back(inner == nullptr ? As<std::string>(item, field) : Get<std::string>(item, inner));
  }
  return names;
}

}  // namespace opalroute::config
