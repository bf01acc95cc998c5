/** Divides the admitted share of a row between returning and fresh requests.

    Addresses bursts in which a caller that was refused once is refused again as likely as a fresh one, though
    it doesn't come a third time. Returning requests are admitted first. What they get beyond the row's share
    is a debt, which the row's next fresh requests pay: the sum of the shares granted to all requests of the
    row stays the share times their number, less a debt of at most `maxDebt` requests. So precedence brings no
    service more work than the limit of root requests allows. Fresh requests of other rows don't pay, because
    a request of theirs may be of far less work, or of another service.

    Owns Precedence. State: one number for each of at most `maxRows` rows; no messages. Pure.
*/
#pragma once

#include <map>
#include <string>

namespace anisehold::returning
{

/** What the returning requests of each row were granted beyond its share, in requests. */
struct Precedence
{
    std::map<std::string, double> debts;
};

/** Returns the share, from 0 to 1, with which to admit the next request of a row whose admitted share is
    `share`, and records it. `isRowLimited`: the row is limited, even if this group of its callers isn't. */
double grantShare (Precedence&, const std::string& row, double share, bool isReturning,
                   bool isRowLimited = false);

/** Maximum debt of a row at one daemon, in requests. Beyond it, returning requests get what fresh ones have
    paid back. */
inline constexpr double maxDebt = 2;

inline constexpr std::size_t maxRows = 64;

} // namespace anisehold::returning
