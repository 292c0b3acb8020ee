// Subcommands that change accounts, data centres, targets and quarantine.

#include <openssl/evp.h>

#include <charconv>
#include <istream>

#include "dogwoodport/client/detail/command.h"

namespace dogwoodport::detail {
namespace {

using nlohmann::ordered_json;

constexpr std::size_t kMinRandomChars = 16;
constexpr std::size_t kMaxKeyIdChars = 63;

std::string ToHex(std::span<const unsigned char> bytes) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string text;
  for (const unsigned char byte : bytes) {
    text += kDigits[byte >> 4];
    text += kDigits[byte & 0xF];
  }
  return text;
}

std::string FormatFingerprint(std::uint64_t value) {
  std::array<unsigned char, 8> bytes{};
  for (std::size_t n = 0; n < bytes.size(); ++n) {
    bytes[n] = static_cast<unsigned char>(value >> (56 - 8 * n));
  }
  return ToHex(bytes);
}

const AccountConfig& FindAccount(CommandContext& context, const std::string& name) {
  for (const AccountConfig& account : context.State().config()->accounts) {
    if (account.name == name) return account;
  }
  throw ClientError(ExitStatus::kFailed, "unknown client account '" + name + "'");
}

void ListAccounts(CommandContext& context) {
  ordered_json rows = ordered_json::array();
  for (const AccountConfig& account : context.State().config()->accounts) {
    ordered_json ids = ordered_json::array();
    for (const SecretConfig& secret : account.secrets) ids.push_back(secret.key_id);
    rows.push_back({{"account", account.name},
                    {"rate", account.rate},
                    {"burst", account.burst},
                    {"weight", account.weight},
                    {"key_ids", ids}});
  }
  context.PrintResult(rows);
}

/// Reads the new secret from the first line of a file or of the standard input.
std::string ReadNewSecret(CommandContext& context) {
  std::string text;
  if (context.options.count("secret-file") > 0) {
    text = ReadFile(context.options["secret-file"].as<std::string>());
    text = text.substr(0, text.find('\n'));
  } else {
    std::getline(context.env.in, text);
  }
  if (!text.empty() && text.back() == '\r') text.pop_back();
  const std::size_t dot = text.find('.');
  const bool well_formed = dot != std::string::npos && dot > 0 && dot <= kMaxKeyIdChars &&
                           text.size() - dot - 1 >= kMinRandomChars;
  if (!well_formed || text.find_first_of(" \t") != std::string::npos) {
    throw ClientError(
        ExitStatus::kUsage,
        "the new secret must be one line '<key id>.<random>' without spaces, with 1 to "
        "63 characters before and at least 16 characters after the first dot; its "
        "value is not shown");
  }
  return text;
}

/// Returns the configuration entry of a secret, with the SHA-256 hash of the salt followed by the
/// secret.
SecretConfig MakeSecretConfig(std::span<const unsigned char> salt, const std::string& secret) {
  std::string salted_secret(salt.begin(), salt.end());
  salted_secret += secret;
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned int size = 0;
  if (EVP_Digest(salted_secret.data(), salted_secret.size(), digest.data(), &size, EVP_sha256(),
                 nullptr) != 1) {
    throw ClientError(ExitStatus::kFailed, "SHA-256 is not available");
  }
  return {secret.substr(0, secret.find('.')), ToHex(salt), ToHex(std::span(digest).first(size))};
}

std::vector<unsigned char> FromHex(const std::string& text) {
  std::vector<unsigned char> bytes;
  for (std::size_t n = 0; n + 1 < text.size(); n += 2) {
    unsigned char byte = 0;
    std::from_chars(text.data() + n, text.data() + n + 2, byte, 16);
    bytes.push_back(byte);
  }
  return bytes;
}

std::array<unsigned char, 16> MakeSalt(const CliEnvironment& env) {
  std::array<unsigned char, 16> salt{};
  for (std::size_t n = 0; n < salt.size(); n += 8) {
    const std::uint64_t bits = env.random();
    for (std::size_t k = 0; k < 8; ++k) salt[n + k] = static_cast<unsigned char>(bits >> (8 * k));
  }
  return salt;
}

void DefineRotate(cxxopts::Options& options) {
  options.add_options()("secret-file",
                        "file whose first line is the new secret; default: standard input",
                        cxxopts::value<std::string>(), "FILE");
  DefineReason(options);
}

void RotateSecret(CommandContext& context) {
  context.RequiredOption("reason");
  const std::string secret = ReadNewSecret(context);
  const AccountConfig& account = FindAccount(context, context.arguments[0]);
  const SecretConfig new_secret = MakeSecretConfig(MakeSalt(context.env), secret);
  for (const SecretConfig& existing : account.secrets) {
    if (existing.key_id != new_secret.key_id) continue;
    if (MakeSecretConfig(FromHex(existing.salt_hex), secret).hash_hex == existing.hash_hex) {
      context.ReportUnchanged("the secret with key id '" + new_secret.key_id +
                              "' is already valid");
      return;
    }
    throw ClientError(ExitStatus::kFailed, "the account has another secret with this key id");
  }
  const std::uint64_t version = context.State().secrets_version(account.id);
  context.PublishChange(SecretChange{account.name, version, SecretAction::kAdd, new_secret});
}

/// Returns whether the audit contains a withdrawal of this key id of the account.
bool WasWithdrawn(CommandContext& context, const std::string& account, const std::string& key_id) {
  for (const AuditEntry& entry : context.State().audit()) {
    if (entry.what == "secret_change " + account && entry.outcome == ApplyOutcome::kApplied &&
        entry.to.ends_with(", withdraw " + key_id)) {
      return true;
    }
  }
  return false;
}

void WithdrawSecret(CommandContext& context) {
  context.RequiredOption("reason");
  const AccountConfig& account = FindAccount(context, context.arguments[0]);
  const std::string& key_id = context.arguments[1];
  const bool valid =
      std::any_of(account.secrets.begin(), account.secrets.end(),
                  [&](const SecretConfig& secret) { return secret.key_id == key_id; });
  if (!valid && WasWithdrawn(context, account.name, key_id)) {
    context.ReportUnchanged("key id '" + key_id + "' was already withdrawn");
    return;
  }
  if (!valid) {
    // Reports an error, because success would hide a mistyped key id.
    throw ClientError(ExitStatus::kFailed,
                      "'" + account.name + "' has no valid secret with this key id");
  }
  const std::uint64_t version = context.State().secrets_version(account.id);
  context.PublishChange(SecretChange{account.name, version, SecretAction::kWithdraw, {key_id}});
}

template <typename List>
void RequireName(const List& list, const std::string& name, const char* kind) {
  for (const auto& entry : list) {
    if (entry.name == name) return;
  }
  throw ClientError(ExitStatus::kFailed, std::string("unknown ") + kind + " '" + name + "'");
}

void ChangeDataCentre(CommandContext& context, DataCentreState state) {
  context.RequiredOption("reason");
  const std::string& name = context.arguments[0];
  RequireName(context.State().config()->data_centres, name, "data centre");
  const auto current = context.State().data_centre(DataCentreId::FromName(name));
  if (current.state == state) {
    context.ReportUnchanged("data centre '" + name + "' is already in this state");
    return;
  }
  context.PublishChange(DataCentreChange{name, current.version, state});
}

void ChangeTarget(CommandContext& context, TargetState state) {
  context.RequiredOption("reason");
  const std::string& name = context.arguments[0];
  RequireName(context.State().config()->targets, name, "target");
  const auto current = context.State().target(TargetId::FromName(name));
  if (current.state == state) {
    context.ReportUnchanged("target '" + name + "' is already in this state");
    return;
  }
  context.PublishChange(TargetChange{name, current.version, state});
}

void WithdrawDataCentre(CommandContext& context) {
  ChangeDataCentre(context, DataCentreState::kWithdrawn);
}
void ReturnDataCentre(CommandContext& context) {
  ChangeDataCentre(context, DataCentreState::kInService);
}
void DeclareDataCentreLost(CommandContext& context) {
  ChangeDataCentre(context, DataCentreState::kLost);
}
void DrainTarget(CommandContext& context) { ChangeTarget(context, TargetState::kDraining); }
void ReturnTarget(CommandContext& context) { ChangeTarget(context, TargetState::kInService); }

void ListQuarantine(CommandContext& context) {
  ordered_json rows = ordered_json::array();
  for (const auto& [fingerprint, entry] : context.State().quarantined()) {
    const bool is_quarantined = entry.state == QuarantineState::kQuarantined;
    rows.push_back({{"fingerprint", FormatFingerprint(fingerprint)},
                    {"state", is_quarantined ? "quarantined" : "released"},
                    {"offset", entry.offset}});
  }
  context.PrintResult(rows);
}

void ReleaseQuarantine(CommandContext& context) {
  context.RequiredOption("reason");
  const std::string& text = context.arguments[0];
  std::uint64_t fingerprint = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), fingerprint, 16);
  if (error != std::errc() || end != text.data() + text.size()) {
    throw ClientError(ExitStatus::kUsage, "FINGERPRINT is '" + Printable(text) +
                                              "', expected 1 to 16 hexadecimal digits");
  }
  const QuarantineEntry* entry = context.State().quarantine(fingerprint);
  if (entry == nullptr) {
    throw ClientError(ExitStatus::kFailed,
                      "no quarantined fingerprint " + FormatFingerprint(fingerprint));
  }
  if (entry->state == QuarantineState::kReleased) {
    context.ReportUnchanged("the fingerprint is already released");
    return;
  }
  context.PublishChange(QuarantineChange{fingerprint, entry->version, QuarantineState::kReleased});
}

constexpr std::array kCommands = {
    Command{"accounts list", "", "list client accounts with limits and key ids", nullptr,
            ListAccounts},
    Command{"accounts rotate", "ACCOUNT", "add a secret; existing secrets stay valid", DefineRotate,
            RotateSecret},
    Command{"accounts withdraw", "ACCOUNT KEY_ID", "withdraw a secret permanently", DefineReason,
            WithdrawSecret},
    Command{"datacentre withdraw", "NAME", "take a data centre out of service", DefineReason,
            WithdrawDataCentre},
    Command{"datacentre return", "NAME", "return a data centre to service", DefineReason,
            ReturnDataCentre},
    Command{"datacentre declare-lost", "NAME",
            "let other data centres take over the keys of a lost one", DefineReason,
            DeclareDataCentreLost},
    Command{"targets drain", "NAME", "stop sending new requests to a target", DefineReason,
            DrainTarget},
    Command{"targets return", "NAME", "return a target to service", DefineReason, ReturnTarget},
    Command{"quarantine list", "", "list quarantined request fingerprints", nullptr,
            ListQuarantine},
    Command{"quarantine release", "FINGERPRINT", "accept requests with a fingerprint again",
            DefineReason, ReleaseQuarantine},
};

}  // namespace

std::span<const Command> ChangeCommands() { return kCommands; }

}  // namespace dogwoodport::detail
