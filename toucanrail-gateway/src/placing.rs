//! What the choice of a server for a request depends on, read from the gateway's tables.

use std::collections::BTreeSet;
use std::time::Duration;

use serde::Serialize;
use toucanrail::backends::{BackendId, BackendRow, BackendTable};
use toucanrail::matching::{self, RouteKind};
use toucanrail::origins::StreamOrigin;
use toucanrail::placement::{self, PlacementQuery};
use toucanrail::probes::{self, ProbeRow, ServerChoice};

use crate::request_context::RequestPlan;
use crate::state::{Gateway, GatewayTables};

/// Why load reports are requested before a request is placed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ProbeCause {
    /// The prompt is long.
    LongPrompt,
    /// Requests wait too long for their first event, and free slots may be scarce.
    ScarceSlots,
}

/// What the choice of a server depends on besides the tables.
#[derive(Debug, Clone, Copy)]
pub struct PlacementContext<'run> {
    /// The gateway that serves the request.
    pub gateway: &'run Gateway,
    /// The request.
    pub plan: &'run RequestPlan<'run>,
    /// Size of its body in bytes.
    pub body: usize,
    /// Where its stream has begun, if it has.
    pub origin: Option<&'run StreamOrigin>,
    /// Servers that are not chosen again.
    pub tried: &'run [BackendId],
    /// Random number in `0..1` that decides whether all remote servers are candidates.
    pub offload_draw: f64,
}

/// Keeps the servers whose versions are recorded in the store, if there are any.
fn prefer_recorded(table: &BackendTable, eligible: &mut Vec<&BackendRow>) {
    let is_recorded = |row: &BackendRow| {
        table.versions().may_begin(&row.entry.service, &row.entry.software_version)
    };
    if eligible.iter().any(|row| is_recorded(row)) {
        eligible.retain(|row| is_recorded(row));
    }
}

impl PlacementContext<'_> {
    /// Returns the properties of the request on which the choice depends. `random` in `0..1` decides
    /// whether servers that return from an ejection are considered.
    pub fn query(&self, random: f64) -> PlacementQuery<'_> {
        let Self { gateway, plan, .. } = *self;
        let prompt = plan.info.prompt.as_ref();
        let (service, route) = (&plan.service, &plan.route.name);
        PlacementQuery {
            data_centre: &gateway.settings.data_centre,
            parts: prompt.map_or(&[], |prompt| &prompt.parts),
            prompt_tokens: prompt.map_or(0, |prompt| prompt.prompt_tokens),
            now: gateway.now(),
            random,
            remote: gateway.remote_terms(service, route, self.body, self.offload_draw),
        }
    }

    /// Returns the servers that the request may be sent to next.
    pub fn list_eligible<'table>(
        &self,
        table: &'table BackendTable,
        now: Duration,
    ) -> Vec<&'table BackendRow> {
        let mut eligible = table.eligible_for(&self.plan.service, self.origin, self.tried, now);
        eligible.retain(|row| self.is_region_allowed(row));
        if self.origin.is_none() && self.plan.route.kind == (RouteKind::Stream { resumable: true })
        {
            prefer_recorded(table, &mut eligible);
        }
        eligible
    }

    /// Returns whether a server is in a region that both the route and the customer allow.
    fn is_region_allowed(&self, row: &BackendRow) -> bool {
        let anywhere = BTreeSet::new();
        let customer = self.plan.customer.as_ref().map_or(&anywhere, |customer| &customer.regions);
        let region = self.gateway.settings.regions.get(&row.entry.data_centre);
        let rules = [&self.plan.route.regions, customer];
        matching::allows_region(rules, region.map(|region| &**region))
    }

    /// Returns why load reports are requested before the request is placed, or `None` if they are
    /// not. `random` in `0..1` selects the requests that do so while slots are free.
    pub fn probe_cause(&self, random: f64) -> Option<ProbeCause> {
        let prompt = self.plan.info.prompt.as_ref()?;
        let rule = self.gateway.tables.borrow().routes.pause_rule(&self.plan.service);
        if probes::is_long(prompt.prompt_tokens, &rule) {
            return Some(ProbeCause::LongPrompt);
        }
        let is_scarce = self.gateway.should_probe(&self.plan.service, random);
        is_scarce.then_some(ProbeCause::ScarceSlots)
    }

    /// Picks a server.
    pub fn pick_server<'table>(
        &self,
        tables: &'table GatewayTables,
        query: &PlacementQuery<'_>,
        probed: &[ProbeRow],
    ) -> ServerChoice<'table> {
        let eligible = self.list_eligible(&tables.backends, query.now);
        let rule = tables.routes.pause_rule(&self.plan.service);
        let latency_target = self.plan.route.latency_target;
        probes::pick_server(&eligible, query, probed, latency_target, &rule)
    }

    /// Picks a server that holds shared parts of the prompt in its cache, if there is a better source
    /// than the chosen server itself.
    pub fn pick_source<'table>(
        &self,
        tables: &'table GatewayTables,
        query: &PlacementQuery<'_>,
        chosen: &BackendRow,
    ) -> Option<&'table BackendRow> {
        let service = &self.plan.service;
        let mut sources = tables.backends.fetch_sources(service, self.tried, query.now);
        sources.retain(|row| self.is_region_allowed(row));
        placement::pick_fetch_source(&sources, query, chosen)
    }
}
