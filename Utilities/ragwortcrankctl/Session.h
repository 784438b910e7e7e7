#pragma once

#include "OperatorClient.h"
#include "OutputFormat.h"

/// What every command needs.
struct session {
    operator_client client;
    output_format format = output_format::Text;
};
