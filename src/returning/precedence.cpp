#include "returning/precedence.hpp"

#include <algorithm>

namespace anisehold::returning
{

double grantShare (Precedence& state, const std::string& row, double share, bool isReturning,
                   bool isRowLimited)
{
    if (share >= 1)
    {
        // Without a shortage there is nothing to pay back. Within one, a group of callers may have a share of
        // 1 while another one of the row has a debt.
        if (! isRowLimited)
            state.debts.erase (row);

        return 1;
    }

    const auto found = state.debts.find (row);

    if (found == state.debts.end() && (! isReturning || state.debts.size() >= maxRows))
        return share;

    double& debt = state.debts[row];
    const double change = isReturning ? std::clamp (maxDebt - debt, 0.0, 1 - share) : -std::min (share, debt);
    debt += change;
    return share + change;
}

} // namespace anisehold::returning
