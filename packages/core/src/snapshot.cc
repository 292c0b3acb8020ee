#include "dogwoodport/core/snapshot.h"

#include <algorithm>

namespace dogwoodport {
namespace {

/// Returns the length in bytes of the chunk that starts at `from`. A chunk ends at a boundary of
/// UTF-8 characters, since its payload is a JSON string.
std::size_t ChunkLength(const std::string& text, std::size_t from) {
  std::size_t end = std::min(text.size(), from + kSnapshotChunkBytes);
  while (end < text.size() && (static_cast<unsigned char>(text[end]) & 0xC0) == 0x80) --end;
  return end - from;
}

bool SameSnapshot(const SnapshotChunk& a, const SnapshotChunk& b) {
  return a.base_offset == b.base_offset && a.count == b.count && a.checksum == b.checksum;
}

}  // namespace

std::vector<SnapshotChunk> MakeSnapshot(const ControlState& state) {
  const std::string text = state.Serialize();
  SnapshotChunk chunk;
  chunk.checksum = detail::HashText(text);
  // Equal states have equal text, so chunks with the same identifier are interchangeable, even if
  // they come from different writers.
  chunk.id = chunk.checksum;
  chunk.base_offset = state.next_offset();
  std::vector<SnapshotChunk> chunks;
  for (std::size_t from = 0; from < text.size(); from += chunk.payload.size()) {
    chunk.index = static_cast<std::uint32_t>(chunks.size());
    chunk.payload = text.substr(from, ChunkLength(text, from));
    chunks.push_back(chunk);
  }
  for (SnapshotChunk& entry : chunks) entry.count = static_cast<std::uint32_t>(chunks.size());
  return chunks;
}

std::optional<std::string> SnapshotAssembler::Add(const SnapshotChunk& chunk,
                                                  std::int64_t unix_ms) {
  if (chunk.count == 0 || chunk.count > kMaxSnapshotChunks || chunk.index >= chunk.count) {
    return "snapshot chunk " + std::to_string(chunk.index) + " of " + std::to_string(chunk.count) +
           " cannot be";
  }
  if (latest_ && chunk.base_offset <= latest_->next_offset()) return std::nullopt;
  Partial& partial = partial_.try_emplace(chunk.id).first->second;
  if (partial.payloads.empty()) partial.first = chunk;
  if (!SameSnapshot(partial.first, chunk)) {
    return "a chunk differs from the others of its snapshot in base, count or checksum";
  }
  partial.payloads[chunk.index] = chunk.payload;
  if (partial.payloads.size() < chunk.count) {
    EvictPartial();
    return std::nullopt;
  }
  const Partial complete = std::move(partial);
  partial_.erase(chunk.id);
  return Complete(complete, unix_ms);
}

std::optional<std::string> SnapshotAssembler::Complete(const Partial& partial,
                                                       std::int64_t unix_ms) {
  std::string text;
  for (const auto& [index, payload] : partial.payloads) text += payload;
  const std::string name = "snapshot of offset " + std::to_string(partial.first.base_offset);
  if (detail::HashText(text) != partial.first.checksum) return name + " fails its checksum";
  try {
    ControlState state = ControlState::Deserialize(text, unix_ms);
    if (state.next_offset() != partial.first.base_offset) return name + " states another offset";
    latest_ = std::move(state);
    return std::nullopt;
  } catch (const StateError& e) {
    return name + " is refused: " + DescribeNested(e);
  }
}

std::optional<std::uint64_t> SnapshotAssembler::latest_base() const noexcept {
  if (!latest_) return std::nullopt;
  return latest_->next_offset();
}

std::optional<ControlState> SnapshotAssembler::TakeLatest() {
  return std::exchange(latest_, std::nullopt);
}

std::uint32_t SnapshotAssembler::FirstMissing(std::uint64_t id) const {
  const auto it = partial_.find(id);
  if (it == partial_.end()) return 0;
  std::uint32_t next = 0;
  for (const auto& [index, payload] : it->second.payloads) {
    if (index != next) break;
    ++next;
  }
  return next;
}

void SnapshotAssembler::EvictPartial() {
  if (partial_.size() <= kMaxPartialSnapshots) return;
  partial_.erase(
      std::min_element(partial_.begin(), partial_.end(), [](const auto& a, const auto& b) {
        return a.second.first.base_offset < b.second.first.base_offset;
      }));
}

}  // namespace dogwoodport
