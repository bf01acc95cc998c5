#include "tenancy/tenancy_messages.hpp"

#include <catch2/catch.hpp>

using namespace anisehold;
using namespace anisehold::tenancy;

TEST_CASE ("tenancy messages survive encoding and decoding")
{
    const Requester requester{ *parse_endpoint ("10.1.0.8:7620"), 77, 123'456'789 };
    const auto question = decode (encode (QuotaRequest{ requester, "blue", 3, 2 }));
    REQUIRE (question);
    const auto* quota = boost::get<QuotaRequest> (&*question);
    REQUIRE (quota != nullptr);
    CHECK (quota->tenant == "blue");
    CHECK (quota->wanted == 3);
    CHECK (quota->returned == 2);
    CHECK (quota->requester.sentNs == 123'456'789);
    const auto grant = decode (encode (QuotaReply{ requester, "blue", true, "daemon-1", 4, 5, 6 }));
    REQUIRE (grant);
    CHECK (boost::get<QuotaReply> (*grant).reserved == "daemon-1");
    CHECK (boost::get<QuotaReply> (*grant).granted == 4);
    const auto answer = decode (encode (ProofReply{ requester, 12, 345 }));
    REQUIRE (answer);
    CHECK (boost::get<ProofReply> (&*answer) != nullptr);
    const auto update = decode (encode (LeaseUpdate{ "daemon-2", 7, -8, 9, 10, 11, 12, 13 }));
    REQUIRE (update);
    const auto* lease = boost::get<LeaseUpdate> (&*update);
    REQUIRE (lease != nullptr);
    CHECK (lease->sender == "daemon-2");
    CHECK (lease->sentNs == -8);
    CHECK (lease->receivedLeaseMs == 12);
    CHECK (lease->groups == 13);
}

TEST_CASE ("invalid bytes are rejected as a tenancy message")
{
    CHECK_FALSE (decode (""));
    CHECK_FALSE (decode ("B-record"));
    for (const Message& message :
         { Message (QuotaRequest{ {}, "blue", 3, 2 }), Message (LeaseUpdate{ "d", 1, 2, 3, 4, 5, 6, 7 }) })
    {
        const auto whole = encode (message);

        for (std::size_t n = 0; n < whole.size(); ++n)
            CHECK_FALSE (decode (whole.substr (0, n)));
    }

    CHECK_FALSE (decode ("T" + std::string (64, '\xff')));
}
