#include "dogwoodport/fleet/state/feed_reader.h"

#include <algorithm>

namespace dogwoodport::fleet {
namespace {

/// Pause after a failed read; doubles up to the longest.
constexpr Duration kFirstRetry{100'000};
constexpr Duration kLongestRetry{400'000};
/// Reads that fail for less than this are no outage: no target's entry can have expired meanwhile.
constexpr Duration kShortOutage{500'000};

}  // namespace

FeedReader::FeedReader(net::EventLoop& loop, MetadataStore& store, EventLog& log,
                       FeedSettings settings, Handler handler)
    : loop_(loop), store_(store), log_(log), settings_(settings), handler_(std::move(handler)) {}

FeedReader::~FeedReader() { loop_.Cancel(timer_); }

void FeedReader::Start() { Next(); }

void FeedReader::Next() {
  const TimePoint sent_at = loop_.Refresh();
  const bool complete = !loaded_;
  const auto done = [this, sent_at, complete,
                     weak = std::weak_ptr<bool>(alive_)](const ReadOutcome& outcome) {
    if (!weak.expired()) Handle(sent_at, complete, outcome);
  };
  if (complete) {
    store_.ReadNewest(settings_.feed, done);
  } else {
    store_.Read(settings_.feed, next_offset_, settings_.wait, done);
  }
}

void FeedReader::Handle(TimePoint sent_at, bool complete, const ReadOutcome& outcome) {
  Duration pause = settings_.pause;
  if (const auto* const records = std::get_if<StoreRecords>(&outcome)) {
    const bool was_away = !available_ && loop_.now() - lost_at_ > kShortOutage;
    OnAvailable();
    next_offset_ = records->end;
    if (!complete && !records->records.empty()) {
      next_offset_ = records->records.back().offset + 1;
      if (next_offset_ < records->end) pause = Duration{0};
    }
    loaded_ = true;
    verified_at_ = next_offset_ >= records->end ? sent_at : verified_at_;
    if (complete || !records->records.empty()) handler_(records->records, complete, was_away);
  } else if (std::holds_alternative<StoreTrimmed>(outcome)) {
    OnAvailable();
    log_.Write(LogLevel::kWarning, "feed_trimmed",
               {{"feed", settings_.name}, {"offset", next_offset_}});
    loaded_ = false;
    pause = Duration{0};
  } else {
    OnUnavailable(std::get<StoreUnavailable>(outcome));
    pause = std::min(kLongestRetry, kFirstRetry * (1 << std::min(failures_ - 1, 4U)));
  }
  timer_ = loop_.RunAfter(pause, [this] {
    timer_ = net::TimerId{};
    Next();
  });
}

void FeedReader::OnAvailable() {
  failures_ = 0;
  if (available_) return;
  available_ = true;
  returned_at_ = loop_.now();
  log_.Write(LogLevel::kInfo, "store_regained",
             {{"feed", settings_.name}, {"away_ms", (loop_.now() - lost_at_).count() / 1000}});
}

void FeedReader::OnUnavailable(const StoreUnavailable& outcome) {
  ++failures_;
  if (!available_) return;
  available_ = false;
  lost_at_ = loop_.now();
  log_.Write(LogLevel::kWarning, "store_lost",
             {{"feed", settings_.name},
              {"reason", outcome.reason},
              {"verified_age_ms", (loop_.now() - verified_at_).count() / 1000}});
}

}  // namespace dogwoodport::fleet
