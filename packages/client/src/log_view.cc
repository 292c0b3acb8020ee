#include "dogwoodport/client/log_view.h"

#include <functional>

#include "dogwoodport/client/client_error.h"
#include "dogwoodport/core/snapshot.h"

namespace dogwoodport {
namespace {

constexpr std::uint32_t kRecordsPerPage = 500;

LogPage ReadPage(LogService& log, std::uint64_t from) {
  try {
    return log.Read(from, kRecordsPerPage);
  } catch (const LogServiceError& e) {
    const auto status =
        e.failure() == LogFailure::kExpired ? ExitStatus::kFailed : ExitStatus::kUnreachable;
    std::throw_with_nested(ClientError(status, "the log cannot be read"));
  }
}

std::uint64_t FirstRetained(LogService& log) {
  try {
    return log.FirstRetained();
  } catch (const LogServiceError&) {
    std::throw_with_nested(
        ClientError(ExitStatus::kUnreachable, "the log cannot be read; nothing was changed"));
  }
}

/// Calls `visit` for all records from offset `from` to the end of the log.
void ForEachRecord(LogService& log, std::uint64_t from,
                   const std::function<void(const LogRecord&)>& visit) {
  while (true) {
    const LogPage page = ReadPage(log, from);
    for (const LogRecord& record : page.records) visit(record);
    if (page.records.empty()) return;
    from = page.records.back().offset + 1;
    if (from >= page.next) return;
  }
}

}  // namespace

LogView::LogView(LogService& log, std::int64_t unix_ms) : log_(log) {
  const std::uint64_t first = FirstRetained(log);
  // The first record of a log has offset 1. If it is retained, no records have expired.
  state_ = first <= 1 ? ControlState(first) : LoadSnapshot(first, unix_ms);
  CatchUp();
  state_.RefreshExceptions(unix_ms);
}

ControlState LogView::LoadSnapshot(std::uint64_t first_retained, std::int64_t unix_ms) {
  SnapshotAssembler snapshots;
  ForEachRecord(log_, first_retained, [&](const LogRecord& record) {
    if (record.data.find("snapshot_chunk") == std::string::npos) return;
    try {
      const Record decoded = DecodeRecord(record.data);
      if (const auto* chunk = std::get_if<SnapshotChunk>(&decoded.body)) {
        snapshots.Add(*chunk, unix_ms);
      }
    } catch (const RecordError&) {
      // A record that cannot be decoded is not a snapshot chunk. `CatchUp` handles it.
    }
  });
  std::optional<ControlState> state = snapshots.TakeLatest();
  if (!state || state->next_offset() < first_retained) {
    throw ClientError(ExitStatus::kFailed,
                      "the log starts at offset " + std::to_string(first_retained) +
                          " and contains no complete snapshot of the earlier records");
  }
  return std::move(*state);
}

void LogView::CatchUp() {
  try {
    ForEachRecord(log_, state_.next_offset(),
                  [&](const LogRecord& record) { state_.ApplyText(record.offset, record.data); });
  } catch (const UnknownRecordError&) {
    std::throw_with_nested(
        ClientError(ExitStatus::kFailed,
                    "record " + std::to_string(state_.next_offset()) +
                        " was written by a newer version; use dogwoodctl of that version"));
  } catch (const StateError&) {
    std::throw_with_nested(ClientError(ExitStatus::kFailed, "records are missing in the log"));
  }
}

}  // namespace dogwoodport
