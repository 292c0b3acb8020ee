#pragma once

/// @file
/// Message kinds, the first byte of each datagram between instances. Private to the exchange.

namespace dogwoodport::fleet {

inline constexpr char kReportKind = 'r';
inline constexpr char kLoadKind = 'l';
inline constexpr char kTableKind = 't';
inline constexpr char kTableChangeKind = 'c';
inline constexpr char kFeedKind = 'f';
inline constexpr char kDigestKind = 'd';
/// A datagram for a relay. Its body is the datagram to forward.
inline constexpr char kRelayKind = 'y';
/// A part of a feed for a relay, which converts the timestamp for each receiver.
inline constexpr char kRelayFeedKind = 'z';
/// Requests and grants for tokens of client accounts.
inline constexpr char kLoanRequestKind = 'q';
inline constexpr char kLoanGrantKind = 'g';

}  // namespace dogwoodport::fleet
