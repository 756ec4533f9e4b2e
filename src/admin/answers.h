#pragma once

/// Builds the operator API's answers as JSON. Values of secrets are never passed to these
/// functions.

#include <string>
#include <vector>

#include "admin/admin_api.h"
#include "admin/admin_parts.h"
#include "admin/plan_service.h"
#include "admin/proxy_directory.h"
#include "core/error.h"

namespace coursepond::admin {

/// Returns {"error": {"kind", "message", "remedy"}} with the HTTP status of the error kind.
AdminResponse errorAnswer(const Error& error);

/// Same as errorAnswer, with "valid": false and all mistakes of the document.
AdminResponse refusalAnswer(const PlanRefusal& refusal);

/// Returns the answer to a confirmation that was not accepted: the error, and "took_effect": "no"
/// or "unknown".
AdminResponse unconfirmedAnswer(const Error& error);

AdminResponse confirmedAnswer(const distribution::AcceptanceRecord& record);

/// `status` is 201 for a new plan and 200 for an existing one.
AdminResponse planAnswer(const Plan& plan, int status);

AdminResponse proxiesAnswer(const ProxyCensus& census);

AdminResponse statusAnswer(const AdminParts& parts, const ProxyCensus& census);

}  // namespace coursepond::admin
