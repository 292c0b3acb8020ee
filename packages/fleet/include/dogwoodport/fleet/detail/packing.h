#pragma once

/// @file
/// MessagePack encoding of values for records and datagrams.

#include <msgpack.hpp>
#include <string>

namespace dogwoodport::fleet::detail {

template <typename T>
std::string Pack(const T& value) {
  msgpack::sbuffer buf;
  msgpack::pack(buf, value);
  return {buf.data(), buf.size()};
}

/// Throws std::exception if the bytes do not encode a `T`.
template <typename T>
T Unpack(const std::string& bytes) {
  T value;
  msgpack::unpack(bytes.data(), bytes.size()).get().convert(value);
  return value;
}

}  // namespace dogwoodport::fleet::detail
