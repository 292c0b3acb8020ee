#pragma once

/// @file
/// Conversion of structs to and from JSON with one list of fields for both directions. An overload
/// of `Describe(archive, self)` lists the fields of a struct; `JsonWriter` encodes them, and
/// `JsonReader` decodes them strictly.

#include <array>
#include <charconv>
#include <concepts>
#include <cstdint>
#include <limits>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "dogwoodport/core/error.h"
#include "dogwoodport/core/types.h"

namespace dogwoodport::detail {

/// A field is missing, has the wrong type or is out of range.
class FieldError : public Error {
 public:
  using Error::Error;
};

/// A field or an enumeration name is unknown to this version. A later version may have written it.
class UnknownFieldError : public FieldError {
 public:
  using FieldError::FieldError;
};

/// Table of the names of an enumeration's values. Specialised for each enumeration that is encoded
/// as JSON.
template <typename E>
struct EnumNames;

/// Returns the name of `value`. Complexity: linear in the number of values.
template <typename E>
std::string_view EnumName(E value) noexcept {
  for (const auto& [candidate, name] : EnumNames<E>::kTable) {
    if (candidate == value) return name;
  }
  return "?";
}

template <typename T>
concept Enumeration = requires {
  EnumNames<T>::kTable;
};

template <typename T>
concept Integer = std::integral<T> && !std::same_as<T, bool>;

class JsonWriter;
class JsonReader;

template <typename T>
concept Described = requires(JsonReader& reader, T& value) {
  Describe(reader, value);
};

/// Returns `value` as 16 hexadecimal digits. Many JSON tools lose precision in numbers above 2^53.
inline std::string ToHex(std::uint64_t value) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string text(16, '0');
  for (std::size_t n = 0; n < 16; ++n) text[15 - n] = kDigits[(value >> (4 * n)) & 0xF];
  return text;
}

/// Parses exactly 16 hexadecimal digits. Throws `FieldError` for any other text.
inline std::uint64_t FromHex(std::string_view text) {
  std::uint64_t value = 0;
  const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), value, 16);
  if (text.size() != 16 || ec != std::errc() || end != text.data() + text.size()) {
    throw FieldError("expected 16 hexadecimal digits");
  }
  return value;
}

template <typename T>
nlohmann::json ToJson(const T& value);
template <typename T>
void FromJson(const nlohmann::json& in, T& value);

/// Encodes the fields of a struct into a JSON object.
class JsonWriter {
 public:
  explicit JsonWriter(nlohmann::json& out) : out_(out) { out_ = nlohmann::json::object(); }

  template <typename T>
  void operator()(const char* name, const T& value) {
    out_[name] = ToJson(value);
  }

 private:
  nlohmann::json& out_;
};

/// Decodes the fields of a struct from a JSON object. `Finish` checks for missing and unknown
/// fields.
class JsonReader {
 public:
  explicit JsonReader(const nlohmann::json& in) : in_(in) {
    if (!in_.is_object()) throw FieldError("expected an object");
  }

  template <typename T>
  void operator()(const char* name, T& value) {
    const auto it = in_.find(name);
    if (it == in_.end()) {
      if (missing_.empty()) missing_ = name;
      return;
    }
    ++read_;
    try {
      FromJson(*it, value);
    } catch (const UnknownFieldError& e) {
      throw UnknownFieldError(std::string(name) + ": " + e.what());
    } catch (const FieldError& e) {
      throw FieldError(std::string(name) + ": " + e.what());
    }
  }

  /// Throws `UnknownFieldError` if the object has fields that were not read, even if other fields
  /// are missing: a later version may have renamed one. Otherwise throws `FieldError` if a field is
  /// missing.
  void Finish() const {
    if (read_ != in_.size()) throw UnknownFieldError("the object has fields of another version");
    if (!missing_.empty()) throw FieldError("missing field " + missing_);
  }

 private:
  const nlohmann::json& in_;
  std::size_t read_ = 0;
  std::string missing_;
};

template <typename T>
struct JsonCodec;

template <>
struct JsonCodec<bool> {
  static nlohmann::json To(bool value) { return value; }
  static void From(const nlohmann::json& in, bool& value) {
    if (!in.is_boolean()) throw FieldError("expected true or false");
    value = in.get<bool>();
  }
};

template <Integer T>
struct JsonCodec<T> {
  static nlohmann::json To(T value) { return value; }
  static void From(const nlohmann::json& in, T& value) {
    if (!in.is_number_integer()) throw FieldError("expected an integer");
    if (in.is_number_unsigned()) {
      const auto n = in.get<std::uint64_t>();
      if (!std::in_range<T>(n)) throw FieldError("integer out of range");
      value = static_cast<T>(n);
      return;
    }
    const auto n = in.get<std::int64_t>();
    if (!std::in_range<T>(n)) throw FieldError("integer out of range");
    value = static_cast<T>(n);
  }
};

template <>
struct JsonCodec<std::string> {
  static nlohmann::json To(const std::string& value) { return value; }
  static void From(const nlohmann::json& in, std::string& value) {
    if (!in.is_string()) throw FieldError("expected a string");
    value = in.get_ref<const std::string&>();
  }
};

template <>
struct JsonCodec<nlohmann::json> {
  static nlohmann::json To(const nlohmann::json& value) { return value; }
  static void From(const nlohmann::json& in, nlohmann::json& value) { value = in; }
};

template <typename Tag>
struct JsonCodec<Id<Tag>> {
  static nlohmann::json To(const Id<Tag>& id) { return ToHex(id.value); }
  static void From(const nlohmann::json& in, Id<Tag>& id) {
    if (!in.is_string()) throw FieldError("expected 16 hexadecimal digits");
    id.value = FromHex(in.get_ref<const std::string&>());
  }
};

template <>
struct JsonCodec<Incarnation> {
  static nlohmann::json To(const Incarnation& value) { return value.value; }
  static void From(const nlohmann::json& in, Incarnation& value) { FromJson(in, value.value); }
};

template <Enumeration T>
struct JsonCodec<T> {
  static nlohmann::json To(T value) { return std::string(EnumName(value)); }
  static void From(const nlohmann::json& in, T& value) {
    if (!in.is_string()) throw FieldError("expected a string");
    for (const auto& [candidate, name] : EnumNames<T>::kTable) {
      if (in.get_ref<const std::string&>() == name) {
        value = candidate;
        return;
      }
    }
    throw UnknownFieldError("unknown name");
  }
};

template <typename T>
struct JsonCodec<std::vector<T>> {
  static nlohmann::json To(const std::vector<T>& values) {
    nlohmann::json list = nlohmann::json::array();
    for (const T& value : values) list.push_back(ToJson(value));
    return list;
  }
  static void From(const nlohmann::json& in, std::vector<T>& values) {
    if (!in.is_array()) throw FieldError("expected a list");
    values.clear();
    values.reserve(in.size());
    for (const nlohmann::json& item : in) FromJson(item, values.emplace_back());
  }
};

template <Described T>
struct JsonCodec<T> {
  static nlohmann::json To(const T& value) {
    nlohmann::json out;
    JsonWriter writer(out);
    Describe(writer, value);
    return out;
  }
  static void From(const nlohmann::json& in, T& value) {
    JsonReader reader(in);
    Describe(reader, value);
    reader.Finish();
  }
};

template <typename T>
nlohmann::json ToJson(const T& value) {
  return JsonCodec<T>::To(value);
}

template <typename T>
void FromJson(const nlohmann::json& in, T& value) {
  JsonCodec<T>::From(in, value);
}

}  // namespace dogwoodport::detail
