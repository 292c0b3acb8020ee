#pragma once

/// @file
/// Checks callers' secrets against the salted hashes in the configuration.

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <variant>
#include <vector>

#include "dogwoodport/core/config.h"

namespace dogwoodport {

/// Returns SHA-256(salt bytes followed by `secret`) in hexadecimal, as `SecretConfig::hash_hex`
/// holds it. `secret` is the whole text after "Bearer ", including the key id.
/// Throws `Error` if `salt_hex` is not hexadecimal.
///
/// @code
/// const std::string hash = HashSecret("a0b1", "k1.mF3x");
/// @endcode
std::string HashSecret(std::string_view salt_hex, std::string_view secret);

/// Why a request has no client account.
enum class SecretFailure : std::uint8_t {
  kMissing,    ///< no `Authorization` header
  kMalformed,  ///< not `Bearer <key id>.<random>`
  kUnknown,    ///< not a secret of the configuration, or withdrawn
  kStale       ///< the configuration is older than `secret_max_staleness` allows
};

/// Returns the stable name of `failure`.
const char* Name(SecretFailure failure) noexcept;

using SecretResult = std::variant<AccountId, SecretFailure>;

/// Settings of `SecretStore`.
struct SecretSettings {
  /// Key of the cache's keyed hash; random for each process.
  std::array<std::uint64_t, 2> cache_key{};
  /// Positive results kept.
  std::size_t cache_size = 4096;
  /// Longest time without the log after which secrets are refused; none: they are served.
  std::optional<Duration> max_staleness;
};

/// The secrets of all accounts. Checked for every request, so that a withdrawn secret stops working
/// on open connections.
///
/// @code
/// const SecretResult r = store.Check(now, "Bearer k1.mF3x");
/// @endcode
class SecretStore {
 public:
  explicit SecretStore(SecretSettings settings) : settings_(settings) {}

  /// Replaces all secrets and drops the cached results. Throws `Error` on a salt or hash that is
  /// not hexadecimal; the old secrets then stay. Complexity: linear in the secrets.
  void OnConfig(const Config& config);

  /// States that the configuration was current at `now`.
  void OnLogContact(TimePoint now) { last_contact_ = now; }

  /// Returns the account whose secret is in the `Authorization` header value. Complexity: constant
  /// on average, one SipHash if cached, else one SHA-256 per secret of the key id.
  SecretResult Check(TimePoint now, std::string_view authorization);

  std::size_t cached() const noexcept { return cache_.size(); }

 private:
  struct Secret {
    AccountId account;
    std::vector<std::uint8_t> salt;
    std::array<std::uint8_t, 32> hash{};
  };

  SecretSettings settings_;
  std::optional<TimePoint> last_contact_;
  std::unordered_map<std::string, std::vector<Secret>> by_key_id_;
  std::unordered_map<std::uint64_t, AccountId> cache_;
};

}  // namespace dogwoodport
