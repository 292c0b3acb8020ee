#pragma once

/// @file
/// Verifies callers' secrets against the salted hashes in the configuration.

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

/// Returns SHA-256(salt bytes followed by `secret`) in hexadecimal, the format of
/// `SecretConfig::hash_hex`. `secret` is the complete text after "Bearer ", including the key id.
/// Throws `Error` if `salt_hex` is not hexadecimal.
///
/// @code
/// const std::string hash = HashSecret("a0b1", "k1.mF3x");
/// @endcode
std::string HashSecret(std::string_view salt_hex, std::string_view secret);

/// Reason why a request could not be attributed to a client account.
enum class SecretFailure : std::uint8_t {
  kMissing,    ///< no `Authorization` header
  kMalformed,  ///< not `Bearer <key id>.<random>`
  kUnknown,    ///< not in the configuration, or withdrawn
  kStale       ///< the configuration is older than `secret_max_staleness` allows
};

/// Returns the stable name of `failure`, e.g. "secret_unknown".
std::string_view ToString(SecretFailure failure) noexcept;

using SecretResult = std::variant<AccountId, SecretFailure>;

/// Settings of `SecretStore`.
struct SecretSettings {
  /// Key of the SipHash that indexes the cache. Must be random for each process.
  std::array<std::uint64_t, 2> cache_key{};
  /// Maximum number of successful results in the cache; 0 disables it.
  std::size_t cache_size = 4096;
  /// Maximum time without contact with the log before all secrets are refused. If unset, secrets
  /// are accepted however old the configuration is.
  std::optional<Duration> max_staleness;
};

/// The secrets of all accounts. Every request is checked, so that a withdrawn secret is refused
/// even on open connections.
///
/// @code
/// const SecretResult r = store.Check(now, "Bearer k1.mF3x");
/// @endcode
class SecretStore {
 public:
  explicit SecretStore(SecretSettings settings) : settings_(settings) {}

  /// Replaces all secrets and clears the cache. Throws `Error` if a salt or hash is not hexadecimal
  /// or a hash is not 32 bytes long; the previous secrets then remain. Complexity: linear in the
  /// number of secrets.
  void OnConfig(const Config& config);

  /// Records that the configuration was current at `now`.
  void OnLogContact(TimePoint now) { last_contact_ = now; }

  /// Returns the account whose secret is in the value of the `Authorization` header. Complexity:
  /// constant on average; one SipHash if cached, otherwise one SHA-256 per secret with the key id.
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
