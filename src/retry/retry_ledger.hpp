/// @file
/// The home ledger: the retries that a dispatched call has lent to the calls nested in it, so that the
/// retries of all layers together stay within the root request's allowance. Part of `anisehold serve`: the
/// gate that dispatched the call keeps the ledger, and the daemon that receives the nested call draws on it.
/// Design: docs/DESIGN.md.
/// A call that a server refused is charged when it moves to another server, because calls nested in it may
/// have run: without the charge, 84 executions occurred with an allowance of 3.
#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>

#include "protocol/serialize_all.hpp"
#include "protocol/time_types.hpp"

namespace anisehold::retry {

enum class DrawVerdict : std::uint8_t {
    kFirst,         ///< The call makes this nested call for the first time.
    kRetry,         ///< A retry by the calling layer; it was charged.
    kExhausted,     ///< A retry, and no allowance is left.
    kNotRetryable,  ///< A retry of a nested call that must not be repeated.
    kEnded,         ///< The calling call has ended, so nobody waits for the response.
    kUnknownCall,   ///< This daemon has no such call.
};

/// Asks the home ledger whether a nested call may proceed.
struct DrawRequest {
    std::string call_id;         ///< The call that makes the nested call.
    std::uint64_t identity = 0;  ///< Digest of method, service, target, key and body of the nested call.
    bool repeatable = true;

    template <typename Archive>
    void serialize(Archive& archive, unsigned /*version*/) {
        serialize_all(archive, call_id, identity, repeatable);
    }
};

struct DrawReply {
    DrawVerdict verdict = DrawVerdict::kUnknownCall;
    unsigned lent = 0;               ///< Retries that the nested call and all below it may use.
    std::uint64_t loan_id = 0;       ///< Identifies the loan when it is settled.
    std::uint64_t remaining_ms = 0;  ///< Remaining time of the calling call.
    std::uint64_t root_age_ms = 0;   ///< Time since the root request arrived.

    template <typename Archive>
    void serialize(Archive& archive, unsigned /*version*/) {
        serialize_all(archive, verdict, lent, loan_id, remaining_ms, root_age_ms);
    }
};

/// The terms under which a call is dispatched.
struct LedgerTerms {
    unsigned allowance = 0;
    TimePoint deadline;
    TimePoint root_started;
};

/// Ends a nested call: the retries that it used are charged, the rest of the loan is returned.
struct SettleRequest {
    std::string call_id;
    std::uint64_t identity = 0;
    std::uint64_t loan_id = 0;
    unsigned used = 0;
    std::string
        overloaded_service;  ///< The service that refused the nested call or one below it; empty if none did.
    bool not_run =
        false;  ///< Nothing of the nested call ran, so even a non-repeatable one may be made again.
    std::uint64_t duration_us = 0;
    bool discard_attempt = false;  ///< The attempt ran nothing and is not counted as an attempt.

    template <typename Archive>
    void serialize(Archive& archive, unsigned /*version*/) {
        serialize_all(archive, call_id, identity, loan_id, used, overloaded_service, not_run, duration_us,
                      discard_attempt);
    }
};

/// Summary of a call when it ends.
struct LedgerReport {
    unsigned used = 0;  ///< Includes loans that have not been settled.
    std::string
        overloaded_service;  ///< The service that refused a nested call or one below it; empty if none did.
    bool made_calls =
        false;  ///< Nested calls arrived, including refused ones, so the server had begun the call.
    bool nested_ran = false;  ///< A nested call may have run.
    Duration nested_time{};   ///< Time spent in nested calls.
};

/// Ledgers of the calls that this daemon has dispatched. Pure.
class RetryLedger {
  public:
    /// Opens the ledger of a call that is dispatched.
    void open(const std::string& call_id, const LedgerTerms& terms);
    /// Opens a ledger unless one exists: used for a client's request, which may arrive more than once.
    void open_if_absent(const std::string& call_id, const LedgerTerms& terms);
    DrawReply draw(TimePoint now, const DrawRequest& request);
    /// Settling a loan a second time has no effect.
    void settle(const SettleRequest& request);
    /// Ends a call. Nested calls that it still makes get `kEnded` until `expire` removes the ledger.
    LedgerReport close(TimePoint now, const std::string& call_id);
    /// Drops calls that ended, or ran out of time, at least `kEndedCallRetention` ago.
    void expire(TimePoint now);
    std::size_t size() const { return ledgers_.size(); }

    /// How long an ended call is reported as `kEnded` rather than `kUnknownCall`.
    static constexpr seconds kEndedCallRetention{30};

  private:
    struct NestedCall {
        bool may_have_run = true;  ///< Refers to the latest attempt.
        bool ever_ran = false;     ///< An earlier attempt may have run.
    };
    struct Ledger {
        LedgerTerms terms;
        unsigned remaining = 0;
        std::string overloaded_service;
        bool ended = false;
        TimePoint ended_at;
        Duration nested_time{};
        std::unordered_map<std::uint64_t, NestedCall> nested;
        std::unordered_map<std::uint64_t, unsigned> loans;  // Outstanding loans by loan id.
    };

    DrawReply lend(TimePoint now, Ledger& ledger, DrawVerdict verdict);

    std::unordered_map<std::string, Ledger> ledgers_;
    std::uint64_t next_loan_id_ = 1;
};

}  // namespace anisehold::retry
