#pragma once

/// @file
/// Data centres as a request's alternatives when its own has no free slot.

#include <cstdint>
#include <optional>
#include <vector>

#include "dogwoodport/core/delegation.h"
#include "dogwoodport/core/routing_messages.h"

namespace dogwoodport {

/// Estimate of the requests sent to a service of another data centre that still run there.
struct SentRequests {
  double running = 0;
  /// Value of `running` at the last load report, which shows these.
  double reported = 0;
  double service_us = 0;
  TimePoint at;

  /// Lets the estimate fade with the service time. Complexity: constant.
  void Advance(TimePoint now) noexcept;
};

/// What is known of one data centre.
struct DataCentreRow {
  DataCentreId id;
  bool in_service = true;
  InstanceId coordinator;
  std::vector<InstanceId> members;
  std::int64_t round_trip_us = 0;
  std::vector<ServiceLoad> services;
  TimePoint reported;
  /// By service as in `services`.
  std::vector<SentRequests> sent;
};

/// Table of data centres.
class DataCentreTable {
 public:
  /// A load report older than this says nothing: the data centre may be cut off.
  static constexpr Duration kMaxReportAge{1'000'000};
  /// Part of a service's slots that a data centre keeps for its own callers.
  static constexpr double kReserve = 0.05;

  /// Returns the row, added when it is new. Complexity: linear in the data centres.
  DataCentreRow& Get(DataCentreId id);
  const DataCentreRow* Find(DataCentreId id) const noexcept;

  /// Takes over a report. Complexity: linear in its services.
  void OnLoad(TimePoint now, const DataCentreLoad& load);

  /// Returns the data centre with the lowest round trip plus expected wait that has free slots for
  /// `service`, and counts the request, which takes about `service_us`. Linear in data centres and
  /// services.
  std::optional<DataCentreId> Choose(TimePoint now, ServiceId service, DataCentreId own,
                                     double service_us);

  /// Ejected targets of `service` over all data centres but `own` as last reported.
  std::uint32_t EjectedElsewhere(TimePoint now, ServiceId service, DataCentreId own) const;

  std::vector<DataCentreRow>& rows() noexcept { return rows_; }

 private:
  std::vector<DataCentreRow> rows_;
};

}  // namespace dogwoodport
