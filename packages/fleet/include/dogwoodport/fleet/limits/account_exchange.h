#pragma once

/// @file
/// What the instances tell each other of the client accounts: each instance reports what it has
/// admitted, and in a large fleet the coordinator sums up the reports in a digest for all.

#include <cstdint>
#include <map>
#include <msgpack.hpp>
#include <string>
#include <unordered_map>
#include <vector>

#include "dogwoodport/fleet/limits/account_limiter.h"

namespace dogwoodport::fleet {

/// One account in a report or a digest.
struct AccountReport {
  /// Hash of the account's name.
  std::uint64_t account = 0;
  /// Requests per second that arrive.
  float demand = 0;
  /// Requests admitted since the start of the sender; grows only.
  std::uint32_t admitted = 0;

  MSGPACK_DEFINE_ARRAY(account, demand, admitted)
};

/// Sender of a report or digest: its address and incarnation.
using ReportSender = std::pair<std::string, std::uint64_t>;

/// Passes what the other instances report on to the limiter of this one. Lost reports are made good
/// by the next, because they hold totals.
class AccountExchange {
 public:
  explicit AccountExchange(AccountLimiter& limiter) : limiter_(limiter) {}

  /// Sets the names of all accounts.
  void SetAccounts(const std::vector<std::string>& names);

  /// This instance's report.
  std::vector<AccountReport> MakeReport(TimePoint now);
  void OnReport(const ReportSender& sender, const std::vector<AccountReport>& report,
                TimePoint now);
  /// The demand of a sender does not count while it is silent.
  void SetSilent(const std::string& address);

  /// Sums up the reports, this instance's own included.
  std::vector<AccountReport> MakeDigest(TimePoint now);
  /// A digest stands in for the reports until `now` plus `kDigestAge`.
  void OnDigest(const ReportSender& sender, const std::vector<AccountReport>& digest,
                TimePoint now);

  /// Hands the demand of the other instances to the limiter. Called a few times a second.
  /// `by_digests` tells that reports go to the coordinator, or would if there were one.
  void UpdateDemand(TimePoint now, bool by_digests);

  /// Age of the newest digest from which on the reports count instead.
  static constexpr Duration kDigestAge{1'500'000};

 private:
  struct Sender {
    std::uint64_t incarnation = 0;
    TimePoint reported_at{};
    /// Latest report by account.
    std::unordered_map<std::uint64_t, AccountReport> uses;
  };
  /// Last state of an account in the digests.
  struct Digested {
    AccountReport total;
    /// What this instance had reported then; it is part of the digest.
    std::uint32_t own_admitted = 0;
  };

  void Count(std::uint64_t account, std::uint32_t n, TimePoint now);

  AccountLimiter& limiter_;
  std::unordered_map<std::uint64_t, std::string> names_;
  std::map<std::string, Sender> senders_;
  /// Requests that the other instances have admitted since this one knows them.
  std::unordered_map<std::uint64_t, std::uint32_t> others_admitted_;
  ReportSender digest_sender_;
  std::unordered_map<std::uint64_t, Digested> digested_;
  TimePoint digest_at_{};
};

}  // namespace dogwoodport::fleet
