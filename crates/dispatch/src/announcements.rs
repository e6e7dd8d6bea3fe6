//! What backend servers announce of themselves in their answers.
//!
//! It counts whatever the roster says: the roster may lag, or list a leaving server as ready.

use std::collections::HashMap;

use base::prelude::*;
use roster::{IncarnationStart, InstanceId};

/// Time for which an announcement is kept; a server that leaves is gone by then.
const RETENTION: Duration = Duration::from_secs(600);
/// Most backend servers with an announcement; the oldest one is dropped for a new one.
const MAX_SERVERS: usize = 4_096;

/// The announcements of one incarnation of a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServerAnnouncement {
    started: Option<IncarnationStart>,
    announced: Instant,
    /// Whether it leaves.
    pub is_leaving: bool,
    /// Until when it wants no requests of this entry; none if it never refused any with a time.
    pub paused_until: Option<Instant>,
}

/// The announcements that an entry knows.
#[derive(Debug, Default)]
pub struct ServerAnnouncements {
    by_server: HashMap<InstanceId, ServerAnnouncement>,
}

impl ServerAnnouncements {
    /// Records that an incarnation of `server` leaves. Returns whether that was not known.
    pub fn record_leaving(
        &mut self,
        server: &InstanceId,
        started: Option<IncarnationStart>,
        now: Instant,
    ) -> bool {
        let announcement = self.announcement_mut(server, started, now);
        !std::mem::replace(&mut announcement.is_leaving, true)
    }

    /// Records that an incarnation of `server` wants no requests for `pause`. Of several pauses the
    /// latest end counts. Returns the end if it is later than the one known.
    pub fn record_pause(
        &mut self,
        server: &InstanceId,
        started: Option<IncarnationStart>,
        pause: Duration,
        now: Instant,
    ) -> Option<Instant> {
        let until = now + pause;
        let announcement = self.announcement_mut(server, started, now);
        let is_later = announcement.paused_until.is_none_or(|known| known < until);
        is_later.then(|| {
            announcement.paused_until = Some(until);
            until
        })
    }

    /// The announcements of an incarnation of `server`; none if it made none.
    pub fn of(
        &self,
        server: &InstanceId,
        started: Option<IncarnationStart>,
    ) -> Option<ServerAnnouncement> {
        self.by_server.get(server).filter(|known| known.started == started).copied()
    }

    fn announcement_mut(
        &mut self,
        server: &InstanceId,
        started: Option<IncarnationStart>,
        now: Instant,
    ) -> &mut ServerAnnouncement {
        if !self.by_server.contains_key(server) {
            self.make_room(now);
        }
        let new =
            ServerAnnouncement { started, announced: now, is_leaving: false, paused_until: None };
        let known = self.by_server.entry(server.clone()).or_insert(new);
        if known.started != started {
            *known = new;
        }
        known.announced = now;
        known
    }

    fn make_room(&mut self, now: Instant) {
        if self.by_server.len() < MAX_SERVERS {
            return;
        }
        self.by_server
            .retain(|_, known| now.saturating_duration_since(known.announced) < RETENTION);
        let oldest = self.by_server.iter().min_by_key(|(_, known)| known.announced);
        if self.by_server.len() >= MAX_SERVERS
            && let Some(server) = oldest.map(|(server, _)| server.clone())
        {
            self.by_server.remove(&server);
        }
    }
}
