#include "dogwoodport/fleet/ownership/key_planner.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <numeric>
#include <optional>

namespace dogwoodport::fleet {
namespace {

/// Load added to each key, as a share of the mean load per key, so that ranges without measured
/// requests are spread over the targets too.
constexpr double kBaseLoadShare = 0.1;

/// Number of pieces that a plan may always move for balance, regardless of the number of targets.
constexpr std::size_t kMinMoves = 2;

/// Cumulative load over all keys, as prefix sums.
class LoadCurve {
 public:
  explicit LoadCurve(const BucketRates& rates) : sums_(kBucketCount + 1, 0.0) {
    const double total = std::accumulate(rates.begin(), rates.end(), 0.0);
    const double base = std::max(total, 1.0) * kBaseLoadShare / kBucketCount;
    for (std::uint32_t i = 0; i < kBucketCount; ++i) {
      sums_[i + 1] = sums_[i] + base + (i < rates.size() ? rates[i] : 0.0);
    }
  }

  double Sum(std::uint32_t first, std::uint32_t last) const { return At(last + 1) - At(first); }
  double total() const { return sums_.back(); }

  /// Returns the last key of the shortest piece that starts at `first` and has at least `load`, or
  /// `last` if there is none.
  std::uint32_t FindPieceEnd(std::uint32_t first, std::uint32_t last, double load) const {
    const double end_sum = At(first) + load;
    std::uint32_t low = first;
    std::uint32_t high = last;
    while (low < high) {
      const std::uint32_t middle = (low + high) / 2;
      if (At(middle + 1) >= end_sum) {
        high = middle;
      } else {
        low = middle + 1;
      }
    }
    return low;
  }

 private:
  double At(std::uint32_t key) const {
    const std::uint32_t bucket = key / kBucketKeys;
    if (bucket >= kBucketCount) return sums_.back();
    const double fraction = static_cast<double>(key % kBucketKeys) / kBucketKeys;
    return sums_[bucket] + fraction * (sums_[bucket + 1] - sums_[bucket]);
  }

  std::vector<double> sums_;
};

struct TargetLoad {
  const OwnerCandidate* target = nullptr;
  double load = 0;

  double relative() const noexcept { return load / target->capacity; }
};

/// Computes the plan of one service.
class Planner {
 public:
  Planner(const KeyRanges& ranges, const std::vector<OwnerCandidate>& candidates,
          const BucketRates& rates, const PlannerSettings& settings,
          const std::function<bool(const KeyRange&)>& is_pinned)
      : ranges_(ranges), curve_(rates), settings_(settings), is_pinned_(is_pinned) {
    for (const OwnerCandidate& it : candidates) {
      loads_[it.id] = TargetLoad{&it, 0};
      capacity_ += it.capacity;
    }
    for (const KeyRange& it : ranges_) {
      const auto found = loads_.find(it.owner);
      if (found != loads_.end()) found->second.load += curve_.Sum(it.first, it.last);
    }
  }

  KeyRanges Run() {
    if (loads_.empty()) return ranges_;
    ReassignRestartedOwners();
    PlaceUnownedRanges();
    const auto max_moves =
        static_cast<std::size_t>(settings_.max_moved_share * static_cast<double>(loads_.size()));
    for (std::size_t i = 0; i < std::max(kMinMoves, max_moves) && MoveSurplus(); ++i) {
    }
    return ranges_;
  }

 private:
  /// A new incarnation of an owner holds no keys; its ranges are granted again with a new token.
  void ReassignRestartedOwners() {
    for (KeyRange& it : ranges_) {
      const auto found = loads_.find(it.owner);
      if (found == loads_.end()) continue;
      if (found->second.target->incarnation == it.incarnation) continue;
      it.incarnation = found->second.target->incarnation;
      it.fencing_token = 0;
      it.ready = false;
    }
  }

  TargetLoad* LeastLoaded(const std::string& excluded) {
    TargetLoad* best = nullptr;
    for (auto& [id, it] : loads_) {
      if (id == excluded || !it.target->may_grow) continue;
      if (best == nullptr || it.relative() < best->relative()) best = &it;
    }
    return best;
  }

  void PlaceUnownedRanges() {
    const double piece_load = curve_.total() / (4.0 * static_cast<double>(loads_.size()));
    KeyRanges result;
    for (const KeyRange& range : ranges_) {
      const bool stays = loads_.count(range.owner) > 0 || (is_pinned_ && is_pinned_(range));
      if (stays || LeastLoaded("") == nullptr) {
        result.push_back(range);
        continue;
      }
      std::uint32_t first = range.first;
      while (first <= range.last) {
        const std::uint32_t last = curve_.FindPieceEnd(first, range.last, piece_load);
        TargetLoad* const to = LeastLoaded("");
        result.push_back(MakePiece(range, first, last, *to->target));
        to->load += curve_.Sum(first, last);
        first = last + 1;
      }
    }
    ranges_ = std::move(result);
  }

  static KeyRange MakePiece(const KeyRange& range, std::uint32_t first, std::uint32_t last,
                            const OwnerCandidate& to) {
    KeyRange piece = range;
    piece.first = static_cast<std::uint16_t>(first);
    piece.last = static_cast<std::uint16_t>(last);
    // A range that is already moving still names the target that may hold it.
    if (piece.previous.empty()) {
      piece.previous = range.owner;
      piece.previous_incarnation = range.incarnation;
      piece.previous_token = range.fencing_token;
    }
    piece.owner = to.id;
    piece.incarnation = to.incarnation;
    piece.fencing_token = 0;
    piece.ready = false;
    return piece;
  }

  bool MoveSurplus() {
    TargetLoad* from = nullptr;
    for (auto& [id, it] : loads_) {
      if (from == nullptr || it.relative() > from->relative()) from = &it;
    }
    TargetLoad* const to = from == nullptr ? nullptr : LeastLoaded(from->target->id);
    if (to == nullptr) return false;
    const double mean = curve_.total() / capacity_;
    const double expected = mean * from->target->capacity;
    const double deviation = std::sqrt(expected / settings_.rate_window_s);
    if (from->load < expected * settings_.max_imbalance + deviation ||
        from->relative() < settings_.idle_load_share) {
      return false;
    }
    const double surplus = from->load - mean * from->target->capacity;
    const double room =
        std::max(0.0, (from->relative() - to->relative()) / 2) * to->target->capacity;
    const double wanted_load = std::min(surplus, room);
    const double mean_load = curve_.total() / static_cast<double>(loads_.size());
    if (wanted_load < settings_.min_surplus_share * mean_load) return false;
    return MovePiece(*from, *to, wanted_load);
  }

  /// Moves a piece with a load of about `wanted_load` from the start of the best matching range.
  bool MovePiece(TargetLoad& from, TargetLoad& to, double wanted_load) {
    std::optional<std::size_t> best;
    std::uint32_t best_last = 0;
    double best_error = wanted_load;
    for (std::size_t i = 0; i < ranges_.size(); ++i) {
      const KeyRange& it = ranges_[i];
      if (it.owner != from.target->id || !it.previous.empty() || !it.ready) continue;
      const std::uint32_t last = curve_.FindPieceEnd(it.first, it.last, wanted_load);
      for (const std::uint32_t end : {last, last > it.first ? last - 1 : last}) {
        const double error = std::abs(curve_.Sum(it.first, end) - wanted_load);
        if (error >= best_error) continue;
        best = i;
        best_last = end;
        best_error = error;
      }
    }
    if (!best) return false;
    const KeyRange range = ranges_[*best];
    const KeyRange piece = MakePiece(range, range.first, best_last, *to.target);
    const double moved = curve_.Sum(piece.first, piece.last);
    from.load -= moved;
    to.load += moved;
    if (best_last == range.last) {
      ranges_[*best] = piece;
    } else {
      ranges_[*best].first = static_cast<std::uint16_t>(best_last + 1);
      ranges_.insert(ranges_.begin() + static_cast<std::ptrdiff_t>(*best), piece);
    }
    return true;
  }

  KeyRanges ranges_;
  LoadCurve curve_;
  const PlannerSettings& settings_;
  const std::function<bool(const KeyRange&)>& is_pinned_;
  std::map<std::string, TargetLoad> loads_;
  double capacity_ = 0;
};

}  // namespace

KeyRanges PlanKeys(const KeyRanges& ranges, const std::vector<OwnerCandidate>& candidates,
                   const BucketRates& rates, const PlannerSettings& settings,
                   const std::function<bool(const KeyRange&)>& is_pinned) {
  return Planner(ranges, candidates, rates, settings, is_pinned).Run();
}

KeyRanges SplitEvenly(const std::vector<OwnerCandidate>& candidates) {
  KeyRanges ranges;
  double total = 0;
  for (const OwnerCandidate& it : candidates) total += it.capacity;
  double sum = 0;
  std::uint32_t first = 0;
  for (std::size_t i = 0; i < candidates.size() && first < kKeyCount; ++i) {
    sum += candidates[i].capacity;
    const bool is_last = i + 1 == candidates.size();
    const auto end = is_last ? kKeyCount : static_cast<std::uint32_t>(kKeyCount * sum / total);
    if (end <= first) continue;
    KeyRange range;
    range.first = static_cast<std::uint16_t>(first);
    range.last = static_cast<std::uint16_t>(end - 1);
    range.owner = candidates[i].id;
    range.incarnation = candidates[i].incarnation;
    ranges.push_back(range);
    first = end;
  }
  return ranges;
}

}  // namespace dogwoodport::fleet
