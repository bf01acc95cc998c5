#include "tenancy/caller_verdict.hpp"

namespace anisehold::tenancy
{

CallerVerdict judgeCaller (const KeyRing& ring, const ConfigurationProof& proof, TimePoint now,
                           const Credentials& credentials, const CallerRules& rules)
{
    if (credentials.isMalformed)
        return { Admission::unauthorized };

    if (! credentials.key)
        return { rules.allowsAnonymous ? Admission::anonymous : Admission::unauthorized };

    const auto* tenant = holderOf (ring, *credentials.key);

    if (! rules.maxProofAge)
        return { tenant != nullptr ? Admission::known : Admission::unauthorized, tenant };

    if (! isProven (proof, now, *rules.maxProofAge))
        return { Admission::unproven };

    if (tenant != nullptr)
        return { Admission::known, tenant };

    return { isProven (proof, now, unknownKeyProofAge) ? Admission::unauthorized : Admission::unproven };
}

} // namespace anisehold::tenancy
