#pragma once

/** Umbrella header of the reports module: counts of ended jobs, burn reports and the metrics page. */

#include "reports/burn_document.h"
#include "reports/burn_report.h"
#include "reports/burn_summary.h"
#include "reports/job_end.h"
#include "reports/latency_histogram.h"
#include "reports/metrics_page.h"
#include "reports/report_text.h"
#include "reports/service_recorder.h"
