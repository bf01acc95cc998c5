/** State of one daemon for the capacity forecast (capacity_forecast.hpp). Plain data. */
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "overload/demand_forecast.hpp"
#include "overload/service_capacity.hpp"

namespace anisehold::overload
{

/** Forecast of one service. */
struct ServiceForecast
{
    double capacity = 0; /**< Ms of slot time per second, before correction. */
    double demand = 0;   /**< Offered work, in the same unit. */
    double admitted = 0; /**< Admitted work, in the same unit. */
    double declinedShare = 0;
    double use = 0;               /**< Admitted work as a share of the capacity. */
    double meanUse = 0;           /**< Recent mean of `use`. */
    double meanUtilization = 0;   /**< Mean of the measured utilization over the same time. */
    double correction = 1;        /**< Learned factor of the capacity. */
    double settledCorrection = 1; /**< The latest one without refusals and without a limit. */
    TimePoint settled;            /**< Time of `settledCorrection`. */
    double lastSample = 1;        /**< Correction that the last period called for. */
    bool isLimiting = false;
    TimePoint limitStarted;
    bool isTrusted = true; /**< False while refusals continue although the correction is at its bound. */
    unsigned refusedPeriods = 0; /**< Consecutive periods with refusals at the lowest correction. */
    unsigned cleanPeriods = 0;   /**< Consecutive periods without refusals. */
    double share = 1;            /**< Admitted share of the work. */
    double loggedShare = 1;
    TimePoint logged;
};

/** Demand of one row, compared with its recent mean. */
struct RowTrend
{
    double mean = 0;  /**< Rate of the fleet, decayed slowly. */
    double ratio = 1; /**< Present rate relative to `mean`. */
};

/** One daemon's state for the forecast. */
struct ForecastState
{
    bool isOn = false;
    DemandState demand;
    std::map<std::string, ServiceForecast> services; /**< With capacity, demand and estimates only. */
    std::map<std::string, RowTrend> trends;          /**< By row. */
    TimePoint updated;
};

} // namespace anisehold::overload
