/// @file
/// The home ledger: what a dispatched call has lent to the calls nested in it, so that the retries of all
/// layers together stay within the root request's allowance. Part of `anisehold serve`: it lies at the gate
/// that dispatched the call, and is drawn on by the daemon that gets the nested call. Weighed in
/// docs/DESIGN.md, where a rule stands that came from a failing proof: 84 executions with an allowance of 3,
/// while a call that a server refused moved to another one free of charge though calls nested in it had run.
#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>

#include "protocol/serialize_all.hpp"
#include "protocol/time_types.hpp"

namespace anisehold::retry {

enum class DrawVerdict : std::uint8_t {
    kFirst,         ///< First time that this call makes this nested call.
    kRetry,         ///< A retry by the calling layer; it was charged.
    kExhausted,     ///< A retry, and nothing is left.
    kNotRetryable,  ///< A retry of a nested call that may not be repeated.
    kEnded,         ///< The calling call has ended; nobody waits for the answer.
    kUnknownCall,   ///< This daemon has no such call.
};

/// Asks the home ledger whether a nested call may go on.
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
    std::uint64_t loan_id = 0;       ///< To be named when the loan is settled.
    std::uint64_t remaining_ms = 0;  ///< Time that the calling call has left.
    std::uint64_t root_age_ms = 0;   ///< Time since the root request came in.

    template <typename Archive>
    void serialize(Archive& archive, unsigned /*version*/) {
        serialize_all(archive, verdict, lent, loan_id, remaining_ms, root_age_ms);
    }
};

/// What a call is dispatched with.
struct LedgerTerms {
    unsigned allowance = 0;
    TimePoint deadline;
    TimePoint root_started;
};

/// Ends a nested call: what it used is charged, the rest of the loan returns.
struct SettleRequest {
    std::string call_id;
    std::uint64_t identity = 0;
    std::uint64_t loan_id = 0;
    unsigned used = 0;
    std::string overloaded_service;  ///< That refused the nested call or one below it; empty if none did.
    bool not_run = false;            ///< Nothing of it ran, so a non-repeatable one may be made again.
    std::uint64_t duration_us = 0;
    bool discard_attempt = false;  ///< The attempt ran nothing and is not to be counted as one.

    template <typename Archive>
    void serialize(Archive& archive, unsigned /*version*/) {
        serialize_all(archive, call_id, identity, loan_id, used, overloaded_service, not_run, duration_us,
                      discard_attempt);
    }
};

/// What a call used in all, when it ends.
struct LedgerReport {
    unsigned used = 0;               ///< Loans not yet returned count as used.
    std::string overloaded_service;  ///< That refused a nested call or one below it; empty if none did.
    bool made_calls = false;         ///< Nested calls came in, refused ones too: the call had been begun.
    bool nested_ran = false;         ///< A nested call may have run.
    Duration nested_time{};          ///< Time spent in nested calls.
};

/// Ledgers of the calls that this daemon has dispatched. Pure.
class RetryLedger {
  public:
    /// Opens the ledger of a call that is dispatched.
    void open(const std::string& call_id, const LedgerTerms& terms);
    /// Opens a ledger unless there is one: for a client's request, which may come again.
    void open_if_absent(const std::string& call_id, const LedgerTerms& terms);
    DrawReply draw(TimePoint now, const DrawRequest& request);
    /// Settling a loan a second time has no effect.
    void settle(const SettleRequest& request);
    /// Ends a call. Nested calls that it still makes are answered with `kEnded` until `expire`.
    LedgerReport close(TimePoint now, const std::string& call_id);
    /// Drops calls that ended, or ran out of time, before `now - kEndedCallRetention`.
    void expire(TimePoint now);
    std::size_t size() const { return ledgers_.size(); }

    /// How long an ended call is known as ended.
    static constexpr seconds kEndedCallRetention{30};

  private:
    struct NestedCall {
        bool may_have_run = true;  ///< The latest attempt.
        bool ever_ran = false;     ///< Some earlier attempt may have run.
    };
    struct Ledger {
        LedgerTerms terms;
        unsigned remaining = 0;
        std::string overloaded_service;
        bool ended = false;
        TimePoint ended_at;
        Duration nested_time{};
        std::unordered_map<std::uint64_t, NestedCall> nested;
        std::unordered_map<std::uint64_t, unsigned> loans;  // Outstanding, by loan id.
    };

    DrawReply lend(TimePoint now, Ledger& ledger, DrawVerdict verdict);

    std::unordered_map<std::string, Ledger> ledgers_;
    std::uint64_t next_loan_id_ = 1;
};

}  // namespace anisehold::retry
