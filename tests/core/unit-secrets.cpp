#include <catch2/catch.hpp>

#include "dogwoodport/core/error.h"
#include "dogwoodport/core/secret_store.h"

namespace dogwoodport {
namespace {

const AccountId kAccount = AccountId::FromName("a");
constexpr TimePoint kNow{Duration(1'000'000)};

SecretConfig MakeSecret(const std::string& secret) {
  return SecretConfig{secret.substr(0, secret.find('.')), "a0b1c2", HashSecret("a0b1c2", secret)};
}

Config MakeConfig(const std::vector<std::string>& secrets) {
  Config config;
  config.accounts.push_back(AccountConfig{kAccount, "a"});
  for (const std::string& s : secrets) config.accounts[0].secrets.push_back(MakeSecret(s));
  return config;
}

bool Accepted(const SecretResult& result) { return std::holds_alternative<AccountId>(result); }

}  // namespace

TEST_CASE("secret store") {
  SecretSettings settings;
  settings.cache_key = {1, 2};
  settings.cache_size = 4;
  SecretStore store(settings);
  store.OnConfig(MakeConfig({"k1.old", "k2.new"}));

  SECTION("the stored form is SHA-256 of salt and secret") {
    // Computed with `printf '\xa0\xb1\xc2k1.old' | sha256sum`.
    CHECK(HashSecret("a0b1c2", "k1.old") ==
          "851f5dafaf8f0a7a9a30eb216cfb00a410427e9c174e48835db331648e13e27c");
    CHECK_THROWS_AS(HashSecret("xyz", "k1.old"), Error);
  }
  SECTION("two secrets are valid during rotation") {
    CHECK(std::get<AccountId>(store.Check(kNow, "Bearer k1.old")) == kAccount);
    CHECK(std::get<AccountId>(store.Check(kNow, "Bearer k2.new")) == kAccount);
  }
  SECTION("a withdrawn secret is refused on the next request") {
    // Guards against a cached result that remains valid on an open connection after the withdrawal.
    REQUIRE(Accepted(store.Check(kNow, "Bearer k1.old")));
    REQUIRE(store.cached() == 1);
    store.OnConfig(MakeConfig({"k2.new"}));
    CHECK(std::get<SecretFailure>(store.Check(kNow, "Bearer k1.old")) == SecretFailure::kUnknown);
  }
  SECTION("two secrets with the same key id are both accepted") {
    store.OnConfig(MakeConfig({"k1.old", "k1.new"}));
    CHECK(Accepted(store.Check(kNow, "Bearer k1.old")));
    CHECK(Accepted(store.Check(kNow, "Bearer k1.new")));
    CHECK_FALSE(Accepted(store.Check(kNow, "Bearer k1.other")));
  }
  SECTION("malformed input") {
    const auto c = GENERATE(table<std::string, SecretFailure>({
        {"", SecretFailure::kMissing},
        {"Basic abc", SecretFailure::kMalformed},
        {"Bearer k1", SecretFailure::kMalformed},
        {"Bearer .x", SecretFailure::kMalformed},
        {"Bearer k1.", SecretFailure::kMalformed},
        {"Bearer k1.wrong", SecretFailure::kUnknown},
        {"Bearer " + std::string(600, 'a') + ".x", SecretFailure::kMalformed},
    }));
    CHECK(std::get<SecretFailure>(store.Check(kNow, std::get<0>(c))) == std::get<1>(c));
    CHECK(store.cached() == 0);
  }
  SECTION("the cache is bounded") {
    std::vector<std::string> secrets;
    for (int i = 0; i < 20; ++i) secrets.push_back("k" + std::to_string(i) + ".x");
    store.OnConfig(MakeConfig(secrets));
    for (const std::string& s : secrets) CHECK(Accepted(store.Check(kNow, "Bearer " + s)));
    CHECK(store.cached() <= 4);
  }
  SECTION("an invalid configuration leaves the secrets unchanged") {
    Config bad = MakeConfig({"k2.new"});
    bad.accounts[0].secrets[0].hash_hex = "12";
    CHECK_THROWS_AS(store.OnConfig(bad), Error);
    CHECK(Accepted(store.Check(kNow, "Bearer k1.old")));
  }
  SECTION("with a maximum staleness, secrets are refused when there is no contact with the log") {
    settings.max_staleness = Duration(5'000'000);
    SecretStore strict(settings);
    strict.OnConfig(MakeConfig({"k1.old"}));
    strict.OnLogContact(kNow);
    CHECK(Accepted(strict.Check(kNow + Duration(5'000'000), "Bearer k1.old")));
    CHECK(std::get<SecretFailure>(strict.Check(kNow + Duration(5'000'001), "Bearer k1.old")) ==
          SecretFailure::kStale);
  }
}

}  // namespace dogwoodport
