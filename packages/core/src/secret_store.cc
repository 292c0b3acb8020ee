#include "dogwoodport/core/secret_store.h"

#include <openssl/crypto.h>
#include <openssl/sha.h>

#include <cstring>

#include "dogwoodport/core/error.h"

namespace dogwoodport {
namespace {

constexpr std::string_view kScheme = "Bearer ";
constexpr std::size_t kMaxSecretBytes = 512;

using Digest = std::array<std::uint8_t, SHA256_DIGEST_LENGTH>;

int HexDigit(char c) {
  if (c >= '0' && c <= '9') return c - '0';
  if (c >= 'a' && c <= 'f') return c - 'a' + 10;
  if (c >= 'A' && c <= 'F') return c - 'A' + 10;
  return -1;
}

std::vector<std::uint8_t> FromHex(std::string_view hex) {
  if (hex.size() % 2 != 0) throw Error("odd number of hexadecimal digits");
  std::vector<std::uint8_t> bytes;
  for (std::size_t i = 0; i < hex.size(); i += 2) {
    const int high = HexDigit(hex[i]);
    const int low = HexDigit(hex[i + 1]);
    if (high < 0 || low < 0) throw Error("not a hexadecimal digit");
    bytes.push_back(static_cast<std::uint8_t>(high * 16 + low));
  }
  return bytes;
}

Digest Hash(const std::vector<std::uint8_t>& salt, std::string_view secret) {
  std::vector<std::uint8_t> input = salt;
  input.insert(input.end(), secret.begin(), secret.end());
  Digest digest{};
  SHA256(input.data(), input.size(), digest.data());
  OPENSSL_cleanse(input.data(), input.size());
  return digest;
}

std::uint64_t RotateLeft(std::uint64_t x, int bits) { return (x << bits) | (x >> (64 - bits)); }

struct SipState {
  std::uint64_t v0, v1, v2, v3;

  void Round() {
    v0 += v1;
    v1 = RotateLeft(v1, 13) ^ v0;
    v0 = RotateLeft(v0, 32);
    v2 += v3;
    v3 = RotateLeft(v3, 16) ^ v2;
    v0 += v3;
    v3 = RotateLeft(v3, 21) ^ v0;
    v2 += v1;
    v1 = RotateLeft(v1, 17) ^ v2;
    v2 = RotateLeft(v2, 32);
  }

  void Absorb(std::uint64_t word) {
    v3 ^= word;
    Round();
    Round();
    v0 ^= word;
  }
};

// SipHash-2-4. Without the key, a caller cannot construct a secret that collides with another; with
// a fast unkeyed hash this would be possible.
std::uint64_t SipHash(const std::array<std::uint64_t, 2>& key, std::string_view text) {
  SipState s{key[0] ^ 0x736f6d6570736575ULL, key[1] ^ 0x646f72616e646f6dULL,
             key[0] ^ 0x6c7967656e657261ULL, key[1] ^ 0x7465646279746573ULL};
  std::size_t at = 0;
  for (; at + 8 <= text.size(); at += 8) {
    std::uint64_t word = 0;
    std::memcpy(&word, text.data() + at, 8);
    s.Absorb(word);
  }
  std::uint64_t last = static_cast<std::uint64_t>(text.size()) << 56;
  for (std::size_t i = 0; at + i < text.size(); ++i) {
    last |= static_cast<std::uint64_t>(static_cast<std::uint8_t>(text[at + i])) << (8 * i);
  }
  s.Absorb(last);
  s.v2 ^= 0xff;
  for (int i = 0; i < 4; ++i) s.Round();
  return s.v0 ^ s.v1 ^ s.v2 ^ s.v3;
}

}  // namespace

std::string_view ToString(SecretFailure failure) noexcept {
  constexpr std::string_view kNames[] = {"secret_missing", "secret_malformed", "secret_unknown",
                                         "secret_stale"};
  return kNames[static_cast<std::size_t>(failure)];
}

std::string HashSecret(std::string_view salt_hex, std::string_view secret) {
  constexpr char kDigits[] = "0123456789abcdef";
  std::string hex;
  for (const std::uint8_t byte : Hash(FromHex(salt_hex), secret)) {
    hex += kDigits[byte >> 4];
    hex += kDigits[byte & 15];
  }
  return hex;
}

void SecretStore::OnConfig(const Config& config) {
  std::unordered_map<std::string, std::vector<Secret>> by_key_id;
  for (const AccountConfig& account : config.accounts) {
    for (const SecretConfig& secret : account.secrets) {
      const std::vector<std::uint8_t> hash = FromHex(secret.hash_hex);
      if (hash.size() != SHA256_DIGEST_LENGTH) throw Error("hash of a secret is not 32 bytes long");
      Secret entry{account.id, FromHex(secret.salt_hex), {}};
      std::copy(hash.begin(), hash.end(), entry.hash.begin());
      by_key_id[secret.key_id].push_back(std::move(entry));
    }
  }
  by_key_id_ = std::move(by_key_id);
  cache_.clear();
}

SecretResult SecretStore::Check(TimePoint now, std::string_view authorization) {
  if (authorization.empty()) return SecretFailure::kMissing;
  if (authorization.substr(0, kScheme.size()) != kScheme) return SecretFailure::kMalformed;
  const std::string_view secret = authorization.substr(kScheme.size());
  const std::size_t dot = secret.find('.');
  if (secret.size() > kMaxSecretBytes || dot == std::string_view::npos || dot == 0 ||
      dot + 1 == secret.size()) {
    return SecretFailure::kMalformed;
  }
  if (settings_.max_staleness &&
      (!last_contact_ || now - *last_contact_ > *settings_.max_staleness)) {
    return SecretFailure::kStale;
  }
  const std::uint64_t fingerprint = SipHash(settings_.cache_key, secret);
  if (const auto hit = cache_.find(fingerprint); hit != cache_.end()) return hit->second;
  const auto it = by_key_id_.find(std::string(secret.substr(0, dot)));
  if (it == by_key_id_.end()) {
    // Takes as long as the check of a known key id, so that timing does not reveal which ids exist.
    Hash({}, secret);
    return SecretFailure::kUnknown;
  }
  std::optional<AccountId> account;
  for (const Secret& candidate : it->second) {
    const Digest digest = Hash(candidate.salt, secret);
    if (CRYPTO_memcmp(digest.data(), candidate.hash.data(), digest.size()) == 0) {
      account = candidate.account;
    }
  }
  if (!account) return SecretFailure::kUnknown;
  if (cache_.size() >= settings_.cache_size) cache_.clear();
  if (settings_.cache_size > 0) cache_.emplace(fingerprint, *account);
  return *account;
}

}  // namespace dogwoodport
