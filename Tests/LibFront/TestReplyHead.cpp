#include "LibFront/ReplyHead.h"
#include "LibFront/ResponseFault.h"

#include <gtest/gtest.h>

#include <initializer_list>
#include <optional>
#include <utility>

using Front::response_fault;

namespace
{
Front::reply_head headWith(std::initializer_list<std::pair<const char *, const char *>> fields, unsigned status = 200)
{
    Front::reply_head head;
    head.result(status);
    for (const auto &[name, value] : fields) {
        head.insert(name, value);
    }
    return head;
}

std::optional<response_fault> faultOf(const Front::reply_head &head)
{
    return Front::findHeadFault(head, "Id");
}
} // namespace

TEST(ReplyHead, StatusOutsideOfHttpIsAFault)
{
    EXPECT_EQ(faultOf(headWith({{"Id", "1"}}, 0)), response_fault::Status);
    EXPECT_EQ(faultOf(headWith({{"Id", "1"}}, 99)), response_fault::Status);
    EXPECT_EQ(faultOf(headWith({{"Id", "1"}}, 600)), response_fault::Status);
    for (const unsigned status : {100U, 103U, 200U, 204U, 304U, 421U, 503U, 599U}) {
        EXPECT_EQ(faultOf(headWith({{"Id", "1"}}, status)), std::nullopt) << status;
    }
}

TEST(ReplyHead, TransferCodingOtherThanChunksIsAFault)
{
    EXPECT_EQ(faultOf(headWith({{"Transfer-Encoding", "chunked"}})), std::nullopt);
    EXPECT_EQ(faultOf(headWith({{"Transfer-Encoding", "Chunked"}})), std::nullopt);
    for (const char *coding : {"gzip", "gzip, chunked", "chunked, gzip", "xchunked", "chunked;a=1", "identity", ""}) {
        EXPECT_EQ(faultOf(headWith({{"Transfer-Encoding", coding}})), response_fault::TransferCoding) << coding;
    }
    EXPECT_EQ(faultOf(headWith({{"Transfer-Encoding", "gzip"}, {"transfer-encoding", "chunked"}})),
              response_fault::TransferCoding);
}

TEST(ReplyHead, RequestIdStatedDifferentlyIsAFault)
{
    EXPECT_EQ(faultOf(headWith({})), std::nullopt);
    EXPECT_EQ(faultOf(headWith({{"Id", "1"}, {"id", "1"}})), std::nullopt);
    EXPECT_EQ(faultOf(headWith({{"Id", "1"}, {"X", "2"}, {"id", "2"}})), response_fault::RequestId);
    EXPECT_EQ(faultOf(headWith({{"Id", "1"}, {"Id", "1"}, {"Id", ""}})), response_fault::RequestId);
    EXPECT_EQ(Front::findHeadFault(headWith({{"Id", "1"}, {"Id", "2"}}), ""), std::nullopt)
        << "the store and other daemons name no request";
}
