/** Whose request it is, and whether it may be served at all.

    Asked in this order: is the key malformed, or missing (then the route decides)? Is the configuration
    proven to be recent enough for keys? Does a tenant hold the key? A key that nobody holds is refused for
    good only on a fresh proof, since it may be newer than the configuration. Relies on the key ring of the
    configuration in force and on its proof. Pure. */
#pragma once

#include <optional>

#include "tenancy/configuration_proof.hpp"
#include "tenancy/tenant_types.hpp"

namespace anisehold::tenancy
{

/** Whether a request is admitted, and as whose. */
enum class Admission
{
    anonymous,    /**< Without a key, where the route allows that. */
    known,        /**< Of a tenant. */
    unauthorized, /**< Its key is missing, malformed or held by nobody. */
    unproven      /**< Whether its key is in force isn't known here for now. */
};

/** What a request says of its caller. */
struct Credentials
{
    std::optional<ApiKey> key; /**< Nothing if there is none. */
    bool isMalformed = false;  /**< Something stands where the key should be that isn't one. */
};

/** The verdict, with the tenant if it is known. */
struct CallerVerdict
{
    Admission admission = Admission::unauthorized;
    const TenantTerms* tenant = nullptr; /**< Holds as long as the key ring. */
};

/** Terms of the verdict. */
struct CallerRules
{
    bool allowsAnonymous = false;          /**< The route may be called without a key. */
    std::optional<Duration> maxProofAge{}; /**< Nothing where keys needn't go out of force in time. */
};

/** The verdict on a request that came at `now`. */
CallerVerdict judgeCaller (const KeyRing&, const ConfigurationProof&, TimePoint now, const Credentials&,
                           const CallerRules&);

} // namespace anisehold::tenancy
