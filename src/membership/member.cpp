#include "membership/member.hpp"

namespace anisehold::membership {

std::string member_state_name(MemberState state) {
    switch (state) {
        case MemberState::kAlive:
            return "alive";
        case MemberState::kLeaving:
            return "leaving";
        case MemberState::kSuspect:
            return "suspect";
        case MemberState::kDead:
            return "dead";
        case MemberState::kLeft:
            return "left";
    }
    return "unknown";
}

bool MemberRecord::supersedes(const MemberRecord& other) const {
    if (incarnation != other.incarnation) {
        return incarnation > other.incarnation;
    }
    return state > other.state;
}

}  // namespace anisehold::membership
