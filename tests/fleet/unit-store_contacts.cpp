#include <algorithm>
#include <catch2/catch.hpp>
#include <random>
#include <string>
#include <vector>

#include "dogwoodport/fleet/instance.h"

namespace dogwoodport::fleet {
namespace {

using std::chrono::milliseconds;

const InstanceSettings kSettings;
const Duration kMinOutage = kSettings.min_store_outage;
const Duration kRestoreTime = kSettings.entry_restore_time;

TimePoint At(int ms) { return TimePoint(milliseconds(100'000 + ms)); }

struct ContactCase {
  const char* description;
  std::vector<int> contacts_ms;
  int now_ms;
  bool missing;
};

TEST_CASE("the store counts as unavailable only while no instance reached it", "[store_contacts]") {
  const auto example = GENERATE(values<ContactCase>({
      {"no contact yet", {}, 0, true},
      {"shortly after the first contact", {0}, 1'000, true},
      {"some time after the first contact", {0, 600, 1'200, 1'800}, 2'250, false},
      {"undisturbed", {-1'000, 0, 600, 1'200, 1'800, 2'400, 3'000}, 3'100, false},
      {"one instance was turned away, others were not",
       {-1'000, 0, 1'410, 2'010, 2'610},
       2'700,
       false},
      {"an outage that has just ended", {-1'000, 0, 600, 3'000}, 3'010, true},
      {"an outage that ended some time ago",
       {-1'000, 0, 600, 3'000, 3'600, 4'200, 4'800},
       5'210,
       false},
      {"an outage that goes on", {-1'000, 0, 600, 1'200, 1'800, 2'400}, 4'100, true},
      {"others had contact, reported late", {-1'000, 0, 600, 3'000, 2'000, 1'300}, 3'010, false},
  }));
  INFO(example.description);
  StoreContacts contacts(kMinOutage, kRestoreTime);
  for (const int ms : example.contacts_ms) contacts.Add(At(ms));
  CHECK(contacts.EntriesMayBeMissing(At(example.now_ms)) == example.missing);
}

/// Instances that read a feed, push it and report their contacts to each other, in virtual time.
/// Instance 0 is the coordinator until it is lost.
class ContactFleet {
 public:
  ContactFleet(std::size_t instances, std::uint64_t seed)
      : large_(instances > 16), random_(seed), members_(instances) {
    for (Member& it : members_) {
      it.next_report = now_ + Random(0, 250);
      it.last_trouble = it.started_at = now_;
    }
  }

  void Run(int seconds) {
    const TimePoint end = now_ + std::chrono::seconds(seconds);
    for (; now_ < end; now_ += kStep) Step();
  }

  /// Steps in which an instance without recent trouble doubted an undisturbed store.
  int false_doubts = 0;
  /// Steps in which an instance did not doubt after an outage that made entries expire.
  int missed_outages = 0;
  int checked_calm = 0;
  int checked_outage = 0;

 private:
  static constexpr Duration kStep = milliseconds(10);
  /// Time after a disturbance from which on a removal must not be doubted. The operators' rules
  /// bind after 3 s, and allow 2 s more until a removed target gets no requests; reading the
  /// removal takes up to 1 s of them.
  static constexpr Duration kMaxDoubt = milliseconds(4'000);
  /// Shortest outage in which an entry of a live target that writes every 0.87 s surely expires.
  static constexpr Duration kExpiry = milliseconds(1'740);

  struct Member {
    StoreContacts contacts{kMinOutage, kRestoreTime};
    TimePoint verified_at{};
    TimePoint last_push_at{};
    TimePoint next_read{};
    TimePoint next_report{};
    TimePoint refused_until{};
    TimePoint cut_until{};
    TimePoint suspended_until{};
    TimePoint last_trouble{};
    TimePoint started_at{};
  };

  milliseconds Random(int min, int max) {
    return milliseconds(std::uniform_int_distribution<int>(min, max)(random_));
  }
  bool Happens(double probability) {
    return std::uniform_real_distribution<double>()(random_) < probability;
  }

  bool StoreIsUp() const { return now_ >= store_down_until_; }

  void AddFaults() {
    const double each_second = std::chrono::duration<double>(kStep).count();
    // Single instances, the coordinator more often than others.
    if (Happens(each_second / 3)) {
      const std::size_t i = Happens(0.6) ? coordinator_ : random_() % members_.size();
      Member& member = members_[i];
      const TimePoint until = now_ + Random(300, 6'000);
      switch (random_() % 4) {
        case 0:
          member.refused_until = until;
          break;
        case 1:
          member.cut_until = until;
          break;
        case 2:
          member.suspended_until = until;
          break;
        default:
          member = Member{};
          member.started_at = now_ + milliseconds(500);
          member.suspended_until = member.started_at;
          if (i == coordinator_) takeover_at_ = now_ + milliseconds(1'500);
      }
      member.last_trouble = std::max(member.last_trouble, until);
    }
    if (Happens(each_second / 20)) {
      store_down_since_ = now_;
      store_down_until_ = now_ + Random(200, 5'000);
    }
  }

  void Read(std::size_t i) {
    Member& member = members_[i];
    member.next_read = now_ + kSettings.targets_read_pause + Random(0, 20);
    const bool fails = !StoreIsUp() || now_ < member.refused_until || now_ < member.cut_until;
    if (fails) {
      member.next_read = now_ + Random(100, 1'000);
      return;
    }
    member.verified_at = now_;
    member.contacts.Add(now_);
    if (i != coordinator_) return;
    for (std::size_t j = 0; j < members_.size(); ++j) {
      Member& other = members_[j];
      if (j == i || !Reaches(i, j)) continue;
      // A push is dated no later than its read, and handled when the receiver runs.
      const TimePoint verified_at = now_ - Random(0, large_ ? 60 : 20);
      other.verified_at = std::max(other.verified_at, verified_at);
      other.last_push_at = now_;
      other.contacts.Add(other.verified_at);
    }
  }

  bool Reaches(std::size_t from, std::size_t to) {
    return now_ >= members_[from].cut_until && now_ >= members_[to].cut_until &&
           now_ >= members_[to].suspended_until && !Happens(0.05);
  }

  void Report(std::size_t i) {
    Member& member = members_[i];
    member.next_report = now_ + (large_ ? milliseconds(740) : milliseconds(250));
    for (std::size_t j = 0; j < members_.size(); ++j) {
      // In a large fleet reports go to the coordinator, and its own to all.
      const bool receives = !large_ || j == coordinator_ || i == coordinator_;
      if (j == i || !receives || !Reaches(i, j)) continue;
      members_[j].contacts.Add(member.verified_at + Random(0, 20));
    }
  }

  void Step() {
    AddFaults();
    if (takeover_at_ != TimePoint{} && now_ >= takeover_at_) {
      takeover_at_ = TimePoint{};
      coordinator_ = (coordinator_ + 1) % members_.size();
    }
    for (std::size_t i = 0; i < members_.size(); ++i) {
      Member& member = members_[i];
      if (now_ < member.suspended_until) continue;
      const bool pushed =
          i != coordinator_ && now_ - member.last_push_at < kSettings.targets_push_timeout;
      if (now_ >= member.next_read && !pushed) Read(i);
      if (now_ >= member.next_report) Report(i);
      Check(member);
    }
  }

  void Check(const Member& member) {
    const bool missing = member.contacts.EntriesMayBeMissing(now_);
    const bool calm = now_ - store_down_until_ > kMaxDoubt && StoreIsUp() &&
                      now_ - member.last_trouble > kMaxDoubt;
    if (calm) {
      ++checked_calm;
      false_doubts += missing ? 1 : 0;
    }
    const bool after_outage = store_down_until_ - store_down_since_ >= kExpiry && StoreIsUp() &&
                              now_ - store_down_until_ < milliseconds(1'900);
    const bool ran_before = member.started_at + milliseconds(1'000) < store_down_since_;
    if (after_outage && ran_before) {
      ++checked_outage;
      missed_outages += missing ? 0 : 1;
    }
  }

  bool large_;
  std::mt19937_64 random_;
  TimePoint now_{std::chrono::seconds(100)};
  std::vector<Member> members_;
  std::size_t coordinator_ = 0;
  TimePoint takeover_at_{};
  TimePoint store_down_since_{};
  TimePoint store_down_until_{};
};

// Guards against trouble of single instances that is taken for an outage of the store, and against
// an outage that is overlooked.
TEST_CASE("instances agree on outages of the store whatever happens to single ones",
          "[store_contacts]") {
  const std::size_t instances = GENERATE(3U, 11U, 40U, 295U);
  const int seeds = instances > 100 ? 2 : 10;
  int checked_calm = 0;
  int checked_outage = 0;
  for (int seed = 1; seed <= seeds; ++seed) {
    INFO(instances << " instances, seed " << seed);
    ContactFleet fleet(instances, static_cast<std::uint64_t>(seed));
    fleet.Run(instances > 100 ? 60 : 200);
    CHECK(fleet.false_doubts == 0);
    CHECK(fleet.missed_outages == 0);
    checked_calm += fleet.checked_calm;
    checked_outage += fleet.checked_outage;
  }
  CHECK(checked_calm > 0);
  CHECK(checked_outage > 0);
}

}  // namespace
}  // namespace dogwoodport::fleet
