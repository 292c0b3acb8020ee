#include "dogwoodport/core/record.h"

#include <array>

#include "dogwoodport/core/detail/json_text.h"
#include "dogwoodport/core/detail/record_fields.h"

namespace dogwoodport {
namespace {

using nlohmann::json;

constexpr std::array<std::string_view, std::variant_size_v<RecordBody>> kTypeNames = {
    "config_change", "config_patch",  "delegation_change", "assignment_batch", "data_centre_change",
    "target_change", "secret_change", "quarantine_change", "shard_split",      "snapshot_chunk"};

template <typename A, Is<Record> T>
void DescribeEnvelope(A& field, T& self) {
  field("writer", self.writer);
  field("incarnation", self.incarnation);
  field("sequence", self.sequence);
  field("actor", self.actor);
  field("reason", self.reason);
  field("time_ms", self.time_ms);
}

template <std::size_t I = 0>
RecordBody DecodeBody(const std::string& type, const json& in) {
  if constexpr (I == std::variant_size_v<RecordBody>) {
    throw UnknownRecordError("unknown record type '" + type + "'");
  } else {
    if (type != kTypeNames[I]) return DecodeBody<I + 1>(type, in);
    std::variant_alternative_t<I, RecordBody> body;
    detail::FromJson(in, body);
    return body;
  }
}

Record DecodeObject(const json& in) {
  detail::JsonReader reader(in);
  Record record;
  DescribeEnvelope(reader, record);
  std::string type;
  reader("type", type);
  json body;
  reader("body", body);
  reader.Finish();
  record.body = DecodeBody(type, body);
  return record;
}

}  // namespace

std::string_view RecordTypeName(const RecordBody& body) noexcept {
  return kTypeNames[body.index()];
}

std::string EncodeRecord(const Record& record) {
  json out;
  detail::JsonWriter writer(out);
  DescribeEnvelope(writer, record);
  out["type"] = std::string(RecordTypeName(record.body));
  out["body"] = std::visit([](const auto& body) { return detail::ToJson(body); }, record.body);
  // Text entered by operators may contain invalid UTF-8, which is replaced instead of refused.
  return out.dump(-1, ' ', false, json::error_handler_t::replace);
}

Record DecodeRecord(std::string_view text) {
  if (detail::NestsTooDeep(text)) throw RecordError("the record nests too deep");
  const json in = json::parse(text, nullptr, false);
  if (in.is_discarded()) throw RecordError("the record is not JSON");
  try {
    return DecodeObject(in);
  } catch (const detail::UnknownFieldError& e) {
    throw UnknownRecordError(std::string("unknown content in the record: ") + e.what());
  } catch (const detail::FieldError& e) {
    throw RecordError(std::string("malformed record: ") + e.what());
  }
}

}  // namespace dogwoodport
