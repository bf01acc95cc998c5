/** Identifies the tenant of a request and decides whether the request may be served.

    The checks, in order: is the key malformed, or missing (then the route decides)? Is the proof of the
    configuration recent enough for keys? Does a tenant hold the key? A key that no tenant holds is rejected
    definitively only on a fresh proof, since the key may be newer than the configuration. Relies on the key
    ring of the configuration in force and on its proof. Pure.
*/
#pragma once

#include <optional>

#include "tenancy/configuration_proof.hpp"
#include "tenancy/tenant_types.hpp"

namespace anisehold::tenancy
{

/** Whether a request is admitted, and on whose behalf. */
enum class Admission
{
    anonymous,    /**< Without a key, on a route that allows this. */
    known,        /**< The request of a known tenant. */
    unauthorized, /**< The key is missing, malformed or not held by any tenant. */
    unproven      /**< This daemon cannot tell at present whether the key is in force. */
};

/** The credentials that a request carries. */
struct Credentials
{
    std::optional<ApiKey> key; /**< Empty if the request has no key. */
    bool isMalformed = false;  /**< The key field is present but does not contain a valid key. */
};

/** The verdict, with the tenant if known. */
struct CallerVerdict
{
    Admission admission = Admission::unauthorized;
    const TenantTerms* tenant = nullptr; /**< Valid as long as the key ring. */
};

/** The rules that apply to the request's route. */
struct CallerRules
{
    bool allowsAnonymous = false;          /**< The route may be called without a key. */
    std::optional<Duration> maxProofAge{}; /**< Empty if keys need not be revoked within a bounded time. */
};

/** Returns the verdict on a request that arrived at `now`. */
CallerVerdict judgeCaller (const KeyRing&, const ConfigurationProof&, TimePoint now, const Credentials&,
                           const CallerRules&);

} // namespace anisehold::tenancy
