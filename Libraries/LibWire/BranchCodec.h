#pragma once

#include "LibWire/BranchAnswers.h"
#include "LibWire/BranchRequest.h"
#include "LibWire/Peer.capnp.h"

namespace Wire
{
void encodeBranchRequest(const branch_request &request, Schema::BranchRequest::Builder builder);
[[nodiscard]] branch_request decodeBranchRequest(Schema::BranchRequest::Reader reader);
void encodeBranchAnswers(const branch_answers &answers, Schema::BranchSink::AnswersParams::Builder builder);
[[nodiscard]] branch_answers decodeBranchAnswers(Schema::BranchSink::AnswersParams::Reader reader);
} // namespace Wire
