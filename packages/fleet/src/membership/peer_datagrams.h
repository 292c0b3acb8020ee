#pragma once

/// @file
/// First byte of each datagram between instances; private to the exchange.

namespace dogwoodport::fleet {

inline constexpr char kReportKind = 'r';
inline constexpr char kLoadKind = 'l';
inline constexpr char kTableKind = 't';
inline constexpr char kTableChangeKind = 'c';
inline constexpr char kFeedKind = 'f';
inline constexpr char kDigestKind = 'd';
/// A datagram for a relay: its body is the datagram that the relay passes on.
inline constexpr char kRelayKind = 'y';
/// The same for a part of a feed, which the relay dates anew for each receiver.
inline constexpr char kRelayFeedKind = 'z';
/// Tokens of client accounts.
inline constexpr char kLoanRequestKind = 'q';
inline constexpr char kLoanGrantKind = 'g';

}  // namespace dogwoodport::fleet
