#include "dogwoodport/fleet/state/feed_reader.h"

#include <algorithm>
#include <array>

namespace dogwoodport::fleet {
namespace {

/// Delay after a failed read. It doubles with each failure up to the maximum.
constexpr Duration kMinRetryDelay{100'000};
constexpr Duration kMaxRetryDelay{400'000};
/// Interval at which the reader checks whether pushes from the coordinator still arrive.
constexpr Duration kPushCheckInterval{150'000};

constexpr std::array<const char*, 2> kSourceNames = {"read", "push"};

}  // namespace

const char* NameOf(FeedSource source) noexcept {
  return kSourceNames[static_cast<std::size_t>(source)];
}

FeedReader::FeedReader(net::EventLoop& loop, MetadataStore& store, EventLog& log,
                       FeedSettings settings, Handler handler, ReadObserver on_read)
    : loop_(loop),
      store_(store),
      log_(log),
      settings_(settings),
      handler_(std::move(handler)),
      on_read_(std::move(on_read)) {}

FeedReader::~FeedReader() { loop_.Cancel(timer_); }

void FeedReader::Start() { ReadNext(); }

bool FeedReader::ReceivesPushes() const {
  return !always_reads_ && loaded_ && loop_.now() - last_push_at_ < settings_.push_timeout;
}

void FeedReader::ScheduleNext(Duration pause) {
  loop_.Cancel(timer_);
  timer_ = loop_.RunAfter(pause, [this] {
    timer_ = net::TimerId{};
    ReadNext();
  });
}

void FeedReader::AcceptPush(std::uint64_t from, std::uint64_t end, TimePoint verified_at,
                            const std::vector<StoreRecord>& records) {
  if (!loaded_ || from > next_offset_) return;  // Gap: the next read from the store fills it.
  last_push_at_ = loop_.now();
  available_ = true;
  failures_ = 0;
  std::vector<StoreRecord> fresh;
  for (const StoreRecord& it : records) {
    if (it.offset >= next_offset_) fresh.push_back(it);
  }
  if (end >= next_offset_) {
    next_offset_ = end;
    verified_at_ = std::max(verified_at_, verified_at);
  }
  if (!fresh.empty()) Deliver({FeedSource::kPush, false, fresh});
}

void FeedReader::Deliver(const FeedUpdate& update) {
  try {
    handler_(update);
  } catch (const std::exception& e) {
    // The reader goes on, so that one record cannot end the following of the feed.
    log_.Write(LogLevel::kError, "records_not_handled",
               {{"feed", settings_.name},
                {"source", NameOf(update.source)},
                {"records", update.records.size()},
                {"reason", e.what()}});
  }
}

void FeedReader::ReadNext() {
  if (reading_) return;
  if (ReceivesPushes()) {
    const Duration remaining = last_push_at_ + settings_.push_timeout - loop_.now();
    ScheduleNext(std::min(kPushCheckInterval, remaining));
    return;
  }
  reading_ = true;
  const TimePoint sent_at = loop_.Refresh();
  const bool complete = !loaded_;
  const auto done = [this, sent_at, complete,
                     weak = std::weak_ptr<bool>(alive_)](const ReadOutcome& outcome) {
    if (!weak.expired()) OnReadDone(sent_at, complete, outcome);
  };
  if (complete) {
    store_.ReadNewest(settings_.feed, done);
  } else {
    store_.Read(settings_.feed, next_offset_, settings_.long_poll_wait, done);
  }
}

void FeedReader::OnReadDone(TimePoint sent_at, bool complete, const ReadOutcome& outcome) {
  reading_ = false;
  Duration pause = settings_.read_pause + (always_reads_ ? Duration{0} : extra_pause_);
  const std::uint64_t from = next_offset_;
  if (const auto* const records = std::get_if<StoreRecords>(&outcome)) {
    OnAvailable();
    std::uint64_t next = records->end;
    if (!complete && !records->records.empty()) next = records->records.back().offset + 1;
    if (next < records->end) pause = Duration{0};
    // A push may have advanced `next_offset_` during the read.
    if (complete || next >= next_offset_) {
      next_offset_ = next;
      if (next >= records->end) verified_at_ = std::max(verified_at_, sent_at);
      loaded_ = true;
      if (complete || !records->records.empty()) {
        Deliver({FeedSource::kRead, complete, records->records});
      }
      on_read_(from, next, complete);
    }
  } else if (std::holds_alternative<StoreTrimmed>(outcome)) {
    OnAvailable();
    log_.Write(LogLevel::kWarning, "feed_trimmed",
               {{"feed", settings_.name}, {"offset", next_offset_}});
    loaded_ = false;
    pause = Duration{0};
  } else {
    OnUnavailable(std::get<StoreUnavailable>(outcome));
    pause = std::min(kMaxRetryDelay, kMinRetryDelay * (1 << std::min(failures_ - 1, 4U)));
  }
  ScheduleNext(pause);
}

void FeedReader::OnAvailable() {
  failures_ = 0;
  if (available_) return;
  available_ = true;
  log_.Write(
      LogLevel::kInfo, "store_regained",
      {{"feed", settings_.name}, {"away_ms", (loop_.now() - unavailable_since_).count() / 1000}});
}

void FeedReader::OnUnavailable(const StoreUnavailable& outcome) {
  ++failures_;
  if (!available_) return;
  available_ = false;
  unavailable_since_ = loop_.now();
  log_.Write(LogLevel::kWarning, "store_lost",
             {{"feed", settings_.name},
              {"reason", outcome.reason},
              {"verified_age_ms", (loop_.now() - verified_at_).count() / 1000}});
}

}  // namespace dogwoodport::fleet
