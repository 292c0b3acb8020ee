#pragma once

/// @file
/// Choice of another data centre for requests when the own one has no free slot.

#include <cstdint>
#include <optional>
#include <vector>

#include "dogwoodport/core/delegation.h"
#include "dogwoodport/core/routing_messages.h"

namespace dogwoodport {

/// Estimated number of requests sent to a service of another data centre that still run there.
struct SentRequests {
  double running = 0;
  /// Value of `running` at the last load report, which includes these requests.
  double reported = 0;
  double service_us = 0;
  TimePoint at;

  /// Decays the estimate exponentially with the service time. Complexity: constant.
  void Advance(TimePoint now) noexcept;
};

/// State of one data centre.
struct DataCentreRow {
  DataCentreId id;
  bool in_service = true;
  InstanceId coordinator;
  std::vector<InstanceId> members;
  std::int64_t round_trip_us = 0;
  std::vector<ServiceLoad> services;
  TimePoint reported;
  /// Indexed as `services`.
  std::vector<SentRequests> sent;
};

/// Table of data centres.
class DataCentreTable {
 public:
  /// Older load reports are ignored, because the data centre may be disconnected.
  static constexpr Duration kMaxReportAge{1'000'000};
  /// Fraction of a service's slots that is reserved for the data centre's own callers.
  static constexpr double kReserve = 0.05;

  /// Returns the row of a data centre and adds it if it is new. Complexity: linear in the data
  /// centres.
  DataCentreRow& Get(DataCentreId id);
  const DataCentreRow* Find(DataCentreId id) const noexcept;

  /// Records a load report. Complexity: linear in its services.
  void OnLoad(TimePoint now, const DataCentreLoad& load);

  /// Returns the data centre with free slots for `service` that has the lowest sum of round-trip
  /// time and expected wait, and counts the request as sent there. `service_us` is the expected
  /// service time. Complexity: linear in the data centres and services.
  std::optional<DataCentreId> Choose(TimePoint now, ServiceId service, DataCentreId own,
                                     double service_us);

  /// Returns the number of ejected targets of `service` in all data centres except `own`, according
  /// to load reports not older than `kMaxReportAge`.
  std::uint32_t EjectedElsewhere(TimePoint now, ServiceId service, DataCentreId own) const;

  std::vector<DataCentreRow>& rows() noexcept { return rows_; }

 private:
  std::vector<DataCentreRow> rows_;
};

}  // namespace dogwoodport
